#include "datacentresimulation.h"

namespace anvilmill::test {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration CallTimeout = std::chrono::milliseconds(800);

Duration milliseconds(std::uint64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

struct DataCentreSimulation::Host
{
    Host(const Clock &base, double rate, Duration wallOffset, std::uint64_t seed)
        : clock(base, rate, wallOffset)
        , random(seed)
    {
    }

    HostIncarnation self;
    SkewedClock clock;
    SeededRandom random;
    std::unique_ptr<Membership> membership;
    bool isAlive = true;
    bool isPaused = false;
    bool isDisconnectedFromPlatform = false;
    std::vector<std::function<void(Membership &)>> pendingInputs;
};

DataCentreSimulation::DataCentreSimulation(std::uint64_t seed, MembershipOptions options)
    : m_random(seed)
    , m_options(options)
{
}

DataCentreSimulation::~DataCentreSimulation() = default;

void DataCentreSimulation::start(const std::string &name, const std::string &dataCentre)
{
    const double rate = 1 + (2 * m_random.nextUnit() - 1) * maxDrift;
    const Duration wallOffset = milliseconds(m_random.nextBelow(20'000)) - milliseconds(10'000);
    auto host = std::make_shared<Host>(m_clock, rate, wallOffset, m_random.next());
    host->self = {dataCentre, name, ++m_incarnations};
    std::vector<MembershipSeed> seeds;
    for (const auto &entry : m_hosts)
        seeds.push_back({entry.second->self.dataCentre, entry.first});
    host->membership = std::make_unique<Membership>(m_options, host->self, name, seeds, host->clock,
                                                    host->random);
    m_hosts[name] = host;
    m_all.push_back(host);
    tickAndReschedule(host);
}

void DataCentreSimulation::kill(const std::string &name)
{
    m_hosts.at(name)->isAlive = false;
}

void DataCentreSimulation::pause(const std::string &name)
{
    m_hosts.at(name)->isPaused = true;
}

void DataCentreSimulation::resume(const std::string &name)
{
    const HostPointer host = m_hosts.at(name);
    host->isPaused = false;
    for (const auto &input : std::exchange(host->pendingInputs, {}))
        deliver(host, input);
}

void DataCentreSimulation::disconnectPlatform(const std::string &name, bool isDisconnected)
{
    m_hosts.at(name)->isDisconnectedFromPlatform = isDisconnected;
}

void DataCentreSimulation::disconnectPeers(const std::string &one, const std::string &other,
                                           bool isDisconnected)
{
    for (const auto &pair : {std::pair(one, other), std::pair(other, one)}) {
        if (isDisconnected)
            m_disconnectedPairs.insert(pair);
        else
            m_disconnectedPairs.erase(pair);
    }
}

void DataCentreSimulation::healAll()
{
    m_disconnectedPairs.clear();
    isPlatformDown = false;
    faults = {};
    for (const auto &entry : m_hosts) {
        entry.second->isDisconnectedFromPlatform = false;
        if (entry.second->isPaused)
            resume(entry.first);
    }
}

void DataCentreSimulation::at(Duration delay, std::function<void()> action)
{
    m_events.push({m_clock.now() + delay, ++m_order, std::move(action)});
}

void DataCentreSimulation::run(Duration time)
{
    const MonotonicTime end = m_clock.now() + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(event.time - m_clock.now());
        event.action();
        check();
    }
    m_clock.advance(end - m_clock.now());
}

void DataCentreSimulation::tickAndReschedule(const HostPointer &host)
{
    if (!host->isAlive)
        return;
    if (!host->isPaused) {
        host->membership->tick();
        processOutput(host);
    }
    at(TickInterval + milliseconds(m_random.nextBelow(5)),
       [this, host] { tickAndReschedule(host); });
}

void DataCentreSimulation::deliver(const HostPointer &host, std::function<void(Membership &)> input)
{
    if (!host->isAlive)
        return;
    if (host->isPaused) {
        host->pendingInputs.push_back(std::move(input));
        return;
    }
    input(*host->membership);
    processOutput(host);
}

void DataCentreSimulation::processOutput(const HostPointer &host)
{
    for (const MembershipSend &send : host->membership->takeSends())
        transmit(host, send);
    if (const auto call = host->membership->takeCall())
        callPlatform(host, *call);
}

void DataCentreSimulation::transmit(const HostPointer &from, const MembershipSend &send)
{
    const auto target = m_hosts.find(send.address);
    const bool isDisconnected = m_disconnectedPairs.count({from->self.host, send.address}) != 0;
    const bool isLost = m_random.nextUnit() < faults.messageLoss;
    if (target == m_hosts.end() || isDisconnected || isLost)
        return;
    if (send.to && *send.to != target->second->self)
        return;
    const bool isDelayed = m_random.nextUnit() < faults.messageDelay;
    const Duration delay = milliseconds(1 + m_random.nextBelow(isDelayed ? 8'000 : 4));
    wire::peer::MembershipMessage message = send.message;
    if (modifyMessage)
        modifyMessage(message);
    at(delay, [this, host = target->second, from, message] {
        deliver(host, [from, message](Membership &membership) {
            membership.received(from->self, from->self.host, message);
        });
    });
}

PlatformAnswer DataCentreSimulation::serve(const PlatformCall &call)
{
    PlatformAnswer answer;
    ++m_platformCalls;
    switch (call.kind) {
    case PlatformCall::Kind::Renew:
        answer.lease = m_store.renewLeases(call.leases);
        break;
    case PlatformCall::Kind::Query:
        answer.lease = m_store.queryLeases(call.leases);
        break;
    case PlatformCall::Kind::Read:
        answer.store = m_store.get(call.key);
        break;
    case PlatformCall::Kind::Grant:
        answer.lease = m_store.grantLease(call.holder, call.leaseLength);
        break;
    case PlatformCall::Kind::Write:
        answer.store = m_store.put(call.put);
        break;
    }
    return answer;
}

void DataCentreSimulation::callPlatform(const HostPointer &host, const PlatformCall &call)
{
    const Duration oneWayDelay = milliseconds(1 + m_random.nextBelow(4));
    const auto answerWith = [this, host](Duration delay, const PlatformAnswer &answer) {
        at(delay, [this, host, answer] {
            deliver(host, [answer](Membership &membership) { membership.answered(answer); });
        });
    };
    if (isPlatformDown || host->isDisconnectedFromPlatform) {
        answerWith(oneWayDelay, {});
        return;
    }
    PlatformAnswer unknown;
    unknown.store.outcome = CallOutcome::Unknown;
    unknown.lease.outcome = CallOutcome::Unknown;
    const bool isLate = m_random.nextUnit() < faults.lateEffect;
    const bool isLost = isLate || m_random.nextUnit() < faults.answerLoss;
    if (isLost)
        answerWith(CallTimeout, unknown);
    const Duration arrival = isLate ? milliseconds(m_random.nextBelow(6'000)) : oneWayDelay;
    at(arrival, [this, call, isLost, oneWayDelay, answerWith] {
        const PlatformAnswer answer = serve(call);
        if (!isLost)
            answerWith(oneWayDelay, answer);
    });
}

Membership &DataCentreSimulation::host(const std::string &name)
{
    return *m_hosts.at(name)->membership;
}

std::vector<std::string> DataCentreSimulation::acting() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts) {
        if (host->isAlive && host->membership->mayActAsOwner())
            names.push_back(name);
    }
    return names;
}

bool DataCentreSimulation::hasConverged() const
{
    for (const auto &entry : m_hosts) {
        const Host &host = *entry.second;
        if (!host.isAlive)
            continue;
        const View view = host.membership->currentView();
        if (!host.membership->mayActAsOwner())
            return false;
        for (const auto &other : m_hosts) {
            if (other.second->isAlive != view.contains(other.second->self))
                return false;
        }
    }
    return true;
}

void DataCentreSimulation::check()
{
    const Host *first = nullptr;
    for (const HostPointer &host : m_all) {
        if (!host->isAlive || !host->membership->mayActAsOwner() || !m_violation.empty())
            continue;
        if (!first) {
            first = host.get();
            continue;
        }
        const View one = first->membership->currentView();
        const View other = host->membership->currentView();
        if (one.epoch == other.epoch && one.members == other.members)
            continue;
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now()).count();
        m_violation = std::to_string(millis) + " ms: " + first->self.asString() + " acts under "
                      + std::to_string(one.epoch) + ", " + host->self.asString() + " under "
                      + std::to_string(other.epoch);
    }
}

} // namespace anvilmill::test
