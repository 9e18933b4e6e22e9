#include "jobrelay.h"

#include "batch/jobmessages.h"
#include "batch/meshmessages.h"

#include "anvilmill/scheduling/dispatcherchoice.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// After two missed heartbeats of 250 ms, the dispatcher's loop is delayed or the dispatcher has
/// failed.
constexpr Duration UnreachableAfter = std::chrono::milliseconds(600);

} // namespace

JobRelay::JobRelay(Mesh &mesh, TimerQueue &timers, const Clock &clock, RandomSource &random,
                   const PeerLiveness &peers)
    : m_mesh(mesh)
    , m_clock(clock)
    , m_random(random)
    , m_peers(peers)
    , m_timers(timers)
{
}

void JobRelay::setDispatchers(std::vector<PeerHost> dispatchers)
{
    m_dispatchers = std::move(dispatchers);
}

bool JobRelay::isReachable(const std::string &host) const
{
    return m_mesh.isConnected(host) && m_peers.silence(host) < UnreachableAfter;
}

bool JobRelay::reachesDispatcher() const
{
    return std::any_of(m_dispatchers.begin(), m_dispatchers.end(),
                       [this](const PeerHost &host) { return isReachable(host.name); });
}

std::size_t JobRelay::openAt(const std::string &host) const
{
    const auto found = m_openAt.find(host);
    return found == m_openAt.end() ? 0 : found->second;
}

bool JobRelay::relay(JobNumber number, const BatchJob &job, ResultHandler handler)
{
    std::vector<DispatcherCandidate> candidates;
    for (const PeerHost &host : m_dispatchers) {
        if (isReachable(host.name))
            candidates.push_back({host.name,
                                  static_cast<double>(std::max<std::int64_t>(1, host.milliCores)),
                                  openAt(host.name)});
    }
    const auto chosen = chooseDispatcher(candidates, m_random);
    if (!chosen)
        return false;
    const std::string &dispatcher = candidates[*chosen].host;
    Frame *const frame = m_mesh.frameFor(dispatcher);
    if (!frame)
        return false;
    mesh::addJob(*frame, number, job, m_clock.now());
    const auto deadline = m_timers.at(job.deadline, [this, number] {
        const std::string host = m_jobs.at(number).dispatcher;
        sendCancel(host, number);
        finish(number, {BatchEnd::Broken, "dispatcherSilent", {}, 0, {}, "", {}});
    });
    m_jobs[number] = {dispatcher, std::move(handler), deadline};
    ++m_openAt[dispatcher];
    return true;
}

void JobRelay::cancel(JobNumber number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return;
    sendCancel(found->second.dispatcher, number);
    finish(number, {BatchEnd::Cancelled, "cancelled", {}, 0, {}, "", {}});
}

// If the dispatcher is disconnected, it detects the cancellation from the next list of open jobs.
void JobRelay::sendCancel(const std::string &host, JobNumber number)
{
    Frame *const frame = m_mesh.frameFor(host);
    if (frame)
        mesh::append(frame->jobCancels, static_cast<std::int64_t>(number));
}

std::set<std::string> JobRelay::hosts() const
{
    std::set<std::string> hosts;
    for (const auto &[host, open] : m_openAt)
        hosts.insert(host);
    return hosts;
}

void JobRelay::addOpenJobs(Frame &frame, const std::string &host) const
{
    frame.openJobs.emplace();
    for (const auto &[number, job] : m_jobs) {
        if (job.dispatcher == host)
            frame.openJobs->push_back(static_cast<std::int64_t>(number));
    }
}

void JobRelay::received(const Frame &frame)
{
    if (!frame.jobEnds)
        return;
    for (const auto &message : *frame.jobEnds) {
        const auto number = static_cast<JobNumber>(message.number);
        const auto found = m_jobs.find(number);
        if (found == m_jobs.end() || found->second.dispatcher != frame.host)
            continue;
        finish(number, mesh::resultOf(message));
    }
}

void JobRelay::finish(JobNumber number, BatchResult result)
{
    const auto found = m_jobs.find(number);
    const OpenJob job = std::move(found->second);
    m_jobs.erase(found);
    m_timers.cancel(job.deadline);
    if (--m_openAt[job.dispatcher] == 0)
        m_openAt.erase(job.dispatcher);
    result.dispatcher = job.dispatcher;
    job.handler(result);
}

} // namespace anvilmill::daemon
