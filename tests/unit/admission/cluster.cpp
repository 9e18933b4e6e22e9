#include "cluster.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace anvilmill::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr HashSecret Secret{3, 5};
constexpr Duration LeaseRenewal = milliseconds(500);
constexpr Duration LeaseDrift = milliseconds(500);
constexpr Duration ViewDelay = milliseconds(400);
constexpr Duration CallerTimeout = seconds(4);
constexpr int SendsPerSubmission = 6;
constexpr std::uint32_t TasksPerJob = 3;

const std::vector<std::string> &dataCentres()
{
    static const std::vector<std::string> names = {"bole", "piassa"};
    return names;
}

} // namespace

AdmissionSettings Cluster::settings()
{
    AdmissionSettings result;
    result.dataCentres = dataCentres();
    result.secret = Secret;
    result.clockError = milliseconds(50);
    return result;
}

Cluster::Cluster(std::uint64_t seed, std::set<Fault> faults, Variant variant)
    : m_simulation(seed)
    , m_faults(std::move(faults))
    , m_variant(variant)
{
    for (const std::string &dataCentre : dataCentres()) {
        for (int i = 0; i < 4; ++i)
            m_views[dataCentre].members.push_back(addHost(dataCentre, 1).self());
    }
    for (const std::string &dataCentre : dataCentres())
        publishView(dataCentre);
    checkLeases();
    m_simulation.runFor(seconds(2));
}

Cluster::~Cluster() = default;

FakeHost &Cluster::addHost(const std::string &dataCentre, std::uint64_t incarnation)
{
    const HostIncarnation self{dataCentre, "host" + std::to_string(m_nextHost++), incarnation};
    m_hosts.push_back(std::make_unique<FakeHost>(*this, self));
    FakeHost &host = *m_hosts.back();
    host.renewLease();
    for (const auto &[name, view] : m_views) {
        if (name != dataCentre && view.epoch > 0)
            host.admission().updateRemoteView(name, view);
    }
    return host;
}

FakeHost *Cluster::find(const HostIncarnation &host)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [&](const auto &entry) { return entry->self() == host; });
    return found == m_hosts.end() ? nullptr : found->get();
}

FakeHost *Cluster::anyHost()
{
    for (int tries = 0; tries < 100; ++tries) {
        FakeHost &host = *m_hosts[m_simulation.below(m_hosts.size())];
        if (host.isAlive)
            return &host;
    }
    return nullptr;
}

bool Cluster::areConnected(const FakeHost &first, const FakeHost &second) const
{
    if (&first == &second)
        return true;
    if (first.isIsolated || second.isIsolated)
        return false;
    const std::string &one = first.self().dataCentre;
    const std::string &other = second.self().dataCentre;
    return one == other
           || (m_disconnectedDataCentres.count(one) == 0
               && m_disconnectedDataCentres.count(other) == 0);
}

void Cluster::onHost(FakeHost &host, Duration delay, std::function<void()> event)
{
    m_simulation.after(delay, [&host, event = std::move(event)] {
        if (!host.isAlive)
            return;
        if (host.isPaused)
            host.deferredEvents.push_back(event);
        else
            event();
    });
}

Duration Cluster::networkDelay()
{
    const bool isLate = has(Fault::SlowNetwork) && m_simulation.chance(0.1);
    return m_simulation.upTo(isLate ? Duration(seconds(8)) : Duration(milliseconds(4)));
}

void Cluster::checkLeases()
{
    const MonotonicTime now = m_simulation.now();
    for (const auto &host : m_hosts) {
        const bool isReached = host->isAlive && !host->isPaused && !host->isIsolated
                               && m_disconnectedDataCentres.count(host->self().dataCentre) == 0;
        if (isReached)
            host->renewLease();
    }
    for (auto &[dataCentre, view] : m_views) {
        if (m_disconnectedDataCentres.count(dataCentre) > 0)
            continue;
        std::vector<HostIncarnation> members;
        for (const auto &host : m_hosts) {
            const bool isMember =
                    host->self().dataCentre == dataCentre && host->leaseEnd() + LeaseDrift > now;
            if (isMember)
                members.push_back(host->self());
        }
        if (members != view.members) {
            view.members = members;
            publishView(dataCentre);
        }
    }
    m_simulation.after(LeaseRenewal, [this] { checkLeases(); });
}

void Cluster::publishView(const std::string &dataCentre)
{
    View &view = m_views[dataCentre];
    ++view.epoch;
    for (const auto &host : m_hosts) {
        FakeHost *target = host.get();
        const bool isOwn = target->self().dataCentre == dataCentre;
        if (!target->isAlive || target->isIsolated)
            continue;
        onHost(*target, m_simulation.upTo(ViewDelay), [=, published = view] {
            if (isOwn)
                target->adopt(published);
            else
                target->admission().updateRemoteView(dataCentre, published);
        });
    }
}

void Cluster::pause(FakeHost &host, Duration length)
{
    host.isPaused = true;
    m_simulation.after(length, [this, &host] { resume(host); });
}

void Cluster::resume(FakeHost &host)
{
    host.isPaused = false;
    for (const auto &event : std::exchange(host.deferredEvents, {}))
        onHost(host, m_simulation.upTo(milliseconds(5)), event);
}

void Cluster::kill(FakeHost &host)
{
    host.isAlive = false;
    const std::string dataCentre = host.self().dataCentre;
    m_simulation.after(seconds(6), [=] { addHost(dataCentre, 2); });
}

void Cluster::scheduleFaults()
{
    const auto withHost = [this](Duration latest, auto action) {
        m_simulation.after(m_simulation.upTo(latest), [=] {
            if (FakeHost *host = anyHost())
                action(*host);
        });
    };
    if (has(Fault::KillHost))
        withHost(seconds(10), [this](FakeHost &host) { kill(host); });
    for (int i = 0; has(Fault::KillTwoHosts) && i < 2; ++i) {
        m_simulation.after(seconds(5) + m_simulation.upTo(milliseconds(500)), [=] {
            const auto victim = std::find_if(m_hosts.begin(), m_hosts.end(),
                                             [](const auto &host) { return host->isAlive; });
            kill(**victim);
        });
    }
    for (int i = 0; has(Fault::PauseHost) && i < 3; ++i)
        withHost(seconds(12), [this](FakeHost &host) { pause(host, seconds(8)); });
    if (has(Fault::IsolateHost)) {
        withHost(seconds(8), [this](FakeHost &host) {
            host.isIsolated = true;
            m_simulation.after(seconds(10), [&host] { host.isIsolated = false; });
        });
    }
    if (has(Fault::DisconnectedDataCentre)) {
        m_simulation.after(m_simulation.upTo(seconds(6)),
                           [this] { m_disconnectedDataCentres.insert("bole"); });
        m_simulation.after(seconds(14), [this] {
            m_disconnectedDataCentres.clear();
            for (const std::string &dataCentre : dataCentres())
                publishView(dataCentre);
        });
    }
}

std::string Cluster::newKey()
{
    const std::string number = std::to_string(m_nextKey++);
    const std::size_t kind = m_simulation.below(3);
    FakeHost *host = anyHost();
    if (kind == 0 && host && !host->isPaused)
        return host->admission().issueTickets(1).front().asString();
    if (kind == 1) {
        const auto millis = std::chrono::duration_cast<milliseconds>(
                m_simulation.clock().wallNow().time_since_epoch());
        std::array<char, 64> uuid{};
        std::snprintf(uuid.data(), uuid.size(), "%08llx-%04llx-7000-8000-%012llx",
                      static_cast<unsigned long long>(millis.count()) >> 16U,
                      static_cast<unsigned long long>(millis.count()) & 0xffffU,
                      static_cast<unsigned long long>(m_nextKey));
        return uuid.data();
    }
    return (m_simulation.chance(0.5) ? "bole/" : "") + std::string("order-") + number;
}

void Cluster::run(std::size_t submissions)
{
    scheduleFaults();
    for (std::size_t i = 0; i < submissions; ++i) {
        m_simulation.after(m_simulation.upTo(seconds(20)), [this] {
            const auto submission = std::make_shared<Submission>();
            submission->attempt = {
                    newKey(), 1, "body" + std::to_string(m_nextKey), TasksPerJob, {}};
            sendAttempt(submission);
        });
    }
    m_simulation.runFor(seconds(60));
}

void Cluster::sendAttempt(const std::shared_ptr<Submission> &submission)
{
    FakeHost *host = anyHost();
    if (!host || ++submission->sends > SendsPerSubmission)
        return;
    Attempt attempt = submission->attempt;
    attempt.invokedAt = m_simulation.now();
    if (submission->sends > 1 && m_simulation.chance(0.05))
        attempt.body = "another body";
    onHost(*host, networkDelay(), [=] {
        host->submit(attempt, [=](const HostAnswer &answer) {
            if (has(Fault::LostAnswers) && m_simulation.chance(0.2))
                return;
            m_simulation.after(networkDelay(), [=] { answered(submission, attempt, answer); });
        });
    });
    // Some callers use a short timeout, and some resubmit even after an answer.
    const Duration timeout =
            m_simulation.chance(0.2) ? m_simulation.upTo(milliseconds(20)) : CallerTimeout;
    const bool resubmitsAlways = m_simulation.chance(0.1);
    m_simulation.after(timeout, [=] {
        if (!submission->isAnswered || resubmitsAlways)
            sendAttempt(submission);
    });
}

void Cluster::answered(const std::shared_ptr<Submission> &submission, const Attempt &attempt,
                       const HostAnswer &answer)
{
    if (answer.isFinished) {
        submission->isAnswered = true;
        m_history.answered(attempt, answer.outputs);
        return;
    }
    m_history.failed(attempt, answer.verdict);
    if (answer.verdict == Verdict::NotRun && attempt.number == submission->attempt.number)
        ++submission->attempt.number;
    m_simulation.after(m_simulation.upTo(seconds(1)), [=] { sendAttempt(submission); });
}

void Cluster::recordStart(const Attempt &attempt, std::uint32_t task)
{
    m_history.started(m_simulation.now(), attempt, task);
}

std::uint64_t Cluster::uncertainClaims() const
{
    std::uint64_t sum = 0;
    for (const auto &host : m_hosts)
        sum += host->admission().status().uncertain;
    return sum;
}

} // namespace anvilmill::testing
