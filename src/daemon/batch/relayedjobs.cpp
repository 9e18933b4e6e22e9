#include "relayedjobs.h"

#include "batch/jobmessages.h"
#include "batch/meshmessages.h"
#include "log.h"

#include <algorithm>
#include <vector>

namespace anvilmill::daemon {

namespace {

/// A connection between hosts is re-established within a second; callers wait little longer.
constexpr Duration EndRetention = std::chrono::seconds(3);
/// 3 s of a dispatcher's jobs at four times the load of the large site.
constexpr std::size_t MaxRetainedEnds = 5000;

} // namespace

RelayedJobs::RelayedJobs(Mesh &mesh, const Clock &clock, SchedulerCalls scheduler)
    : m_mesh(mesh)
    , m_clock(clock)
    , m_scheduler(std::move(scheduler))
{
}

void RelayedJobs::applyWithdrawals(const Frame &frame)
{
    if (frame.openJobs)
        reconcile(frame);
    if (frame.jobCancels) {
        for (const std::int64_t number : *frame.jobCancels)
            cancel({frame.host, static_cast<JobNumber>(number)});
    }
}

void RelayedJobs::outdatedReceived(const Frame &frame)
{
    applyWithdrawals(frame);
    if (!frame.jobs)
        return;
    for (const auto &message : *frame.jobs)
        send({frame.host, static_cast<JobNumber>(message.number)},
             {BatchEnd::Refused, "outdated", {}, 0, {}, "", {}});
    LogEvent("job.relayOutdated", LogEvent::Level::Warning)
            .with("host", frame.host)
            .with("jobs", frame.jobs->size());
}

void RelayedJobs::received(const Frame &frame)
{
    applyWithdrawals(frame);
    if (!frame.jobs)
        return;
    for (const auto &message : *frame.jobs) {
        const Key key(frame.host, static_cast<JobNumber>(message.number));
        auto job = mesh::jobOf(frame, message, m_clock.now());
        if (job) {
            accept(key, std::move(*job));
            continue;
        }
        LogEvent("job.relayUnreadable", LogEvent::Level::Warning)
                .with("job", message.id)
                .with("host", frame.host);
        send(key, {BatchEnd::Refused, "relayUnreadable", {}, 0, {}, "", {}});
    }
}

void RelayedJobs::accept(const Key &key, BatchJob job)
{
    job.transferredFrom = key.first;
    if (!m_jobs.emplace(key, OpenJob{std::nullopt, job}).second)
        return;
    const auto number = m_scheduler.submit(std::move(job), [this, key](const BatchResult &result) {
        // The host of a cancelled job expects no answer.
        if (m_jobs.count(key) > 0)
            answer(key, result);
    });
    const auto found = m_jobs.find(key);
    if (found != m_jobs.end())
        found->second.number = number;
}

void RelayedJobs::cancel(const Key &key)
{
    m_suspended.erase(key);
    auto node = m_jobs.extract(key);
    if (!node.empty() && node.mapped().number)
        m_scheduler.cancel(*node.mapped().number);
}

void RelayedJobs::disconnected(const std::string &host)
{
    std::vector<Key> unstarted;
    for (const auto &[key, open] : m_jobs) {
        if (key.first == host && open.number && !m_scheduler.hasStarted(*open.number))
            unstarted.push_back(key);
    }
    for (const Key &key : unstarted) {
        auto node = m_jobs.extract(key);
        m_suspended.emplace(key, std::move(node.mapped().job));
        m_scheduler.cancel(*node.mapped().number);
    }
    if (!unstarted.empty())
        LogEvent("job.suspended", LogEvent::Level::Warning)
                .with("host", host)
                .with("jobs", unstarted.size());
}

void RelayedJobs::resumeListed(const std::string &host, const std::set<Key> &open)
{
    auto suspended = m_suspended.lower_bound({host, 0});
    while (suspended != m_suspended.end() && suspended->first.first == host) {
        auto node = m_suspended.extract(suspended++);
        if (open.count(node.key()) > 0)
            accept(node.key(), std::move(node.mapped()));
    }
}

// A job that is open on one side only was lost in transit.
void RelayedJobs::reconcile(const Frame &frame)
{
    std::set<Key> open;
    for (const std::int64_t number : *frame.openJobs)
        open.emplace(frame.host, static_cast<JobNumber>(number));
    // Jobs in the same frame have not been accepted yet.
    if (frame.jobs) {
        for (const auto &message : *frame.jobs)
            open.erase({frame.host, static_cast<JobNumber>(message.number)});
    }
    resumeListed(frame.host, open);
    std::vector<Key> unwanted;
    for (const auto &[key, job] : m_jobs) {
        if (key.first == frame.host && open.count(key) == 0)
            unwanted.push_back(key);
    }
    for (const Key &key : unwanted)
        cancel(key);
    for (const Key &key : open) {
        if (m_jobs.count(key) > 0)
            continue;
        const auto ended = m_ended.find(key);
        // An earlier process of this host may have run the job.
        send(key, ended != m_ended.end()
                          ? ended->second
                          : BatchResult{BatchEnd::Broken, "lostOnTheWay", {}, 0, {}, "", {}});
    }
}

std::size_t RelayedJobs::cancelJobsOf(const std::string &host)
{
    std::vector<Key> keys;
    std::vector<Key> suspended;
    for (const auto &[key, job] : m_jobs) {
        if (key.first == host)
            keys.push_back(key);
    }
    for (const auto &[key, job] : m_suspended) {
        if (key.first == host)
            suspended.push_back(key);
    }
    for (const Key &key : suspended) {
        cancel(key);
        answer(key, {BatchEnd::Refused, "hostSilent", {}, 0, {}, "", {}});
    }
    for (const Key &key : keys) {
        cancel(key);
        // If the host reconnects, this answer reports that the job may have run in part.
        answer(key, {BatchEnd::Broken, "hostSilent", {}, 0, {}, "", {}});
    }
    return keys.size() + suspended.size();
}

std::set<std::string> RelayedJobs::hosts() const
{
    std::set<std::string> hosts;
    for (const auto &[key, job] : m_jobs)
        hosts.insert(key.first);
    for (const auto &[key, job] : m_suspended)
        hosts.insert(key.first);
    return hosts;
}

void RelayedJobs::answer(const Key &key, const BatchResult &result)
{
    m_jobs.erase(key);
    const MonotonicTime now = m_clock.now();
    m_ended[key] = result;
    m_endOrder.emplace_back(now, key);
    while (m_endOrder.front().first + EndRetention < now || m_endOrder.size() > MaxRetainedEnds) {
        m_ended.erase(m_endOrder.front().second);
        m_endOrder.pop_front();
    }
    send(key, result);
}

void RelayedJobs::send(const Key &key, const BatchResult &result)
{
    Frame *const frame = m_mesh.frameFor(key.first);
    if (frame)
        mesh::append(frame->jobEnds, mesh::jobEndMessage(key.second, result));
}

} // namespace anvilmill::daemon
