#include "anvilmill/executor/heldexecutor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilmill {

namespace {

/// A single lost start doesn't indicate a fault of the executor, since one order in sixteen may be
/// lost at any executor. From the second on, the delays are those of an executor that fails its
/// runs.
constexpr CircuitBreakerSettings StartDeliverySettings{2, 2, CircuitBreakerSettings{}.firstBackoff,
                                                       CircuitBreakerSettings{}.longestBackoff};

/// The ends that an executor lists between two holds, with a margin.
constexpr std::size_t MaxRecentEnds = 64;

template <typename Target, typename Source>
Target durationAs(Source duration)
{
    return std::chrono::duration_cast<Target>(duration);
}

} // namespace

HeldExecutor::HeldExecutor(const Clock &clock, const HoldSettings &settings,
                           ExecutorRegistration registration)
    : m_clock(clock)
    , m_settings(settings)
    , m_registration(std::move(registration))
    , m_runOutcomes(CircuitBreakerSettings())
    , m_startDelivery(StartDeliverySettings)
{
}

void HeldExecutor::update(const ExecutorRegistration &registration)
{
    if (registration.incarnation != m_registration.incarnation)
        m_isVerified = false;
    m_registration = registration;
}

void HeldExecutor::acquire(StoreVersion membership)
{
    m_acquiredFence = m_fences.acquire(membership);
    m_concludedRuns.clear();
    m_isHeld = true;
    m_hasClosedConnection = false;
    m_hasFenceBeenSeen = false;
    m_isVerified = false;
    m_openLeases.clear();
    m_leaseRequested = m_clock.now();
}

void HeldExecutor::release() noexcept
{
    m_isHeld = false;
    m_isVerified = false;
    m_runs.clear();
    m_used = {};
    m_inheritedRuns = 0;
}

void HeldExecutor::invalidateLease() noexcept
{
    m_leaseInvalidated = m_clock.now();
    m_isVerified = false;
}

bool HeldExecutor::mayStart() const noexcept
{
    return m_isHeld && m_isVerified && !m_registration.isDraining && !hasUnwantedRuns();
}

bool HeldExecutor::hasUnwantedRuns() const noexcept
{
    const MonotonicTime overdue = m_clock.now() - m_settings.stopGrace;
    return m_inheritedRuns > 0
           || std::any_of(m_runs.begin(), m_runs.end(), [overdue](const auto &entry) {
                  return entry.second.stopRequested && *entry.second.stopRequested <= overdue;
              });
}

Resources HeldExecutor::freeCapacity() const noexcept
{
    const MonotonicTime now = m_clock.now();
    if (!mayStart() || !m_runOutcomes.mayStart(m_runs.size(), now)
        || !m_startDelivery.mayStart(unansweredStarts(), now))
        return {};
    Resources available = m_registration.capacity;
    available -= m_used;
    return available;
}

std::size_t HeldExecutor::unansweredStarts() const noexcept
{
    return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [](const auto &entry) {
                return entry.second.state == RunState::Starting
                       || entry.second.state == RunState::Unconfirmed;
            }));
}

std::optional<MonotonicTime> HeldExecutor::nextProbe() const noexcept
{
    const auto outcomes = m_runOutcomes.nextProbe();
    const auto delivery = m_startDelivery.nextProbe();
    return outcomes && delivery ? std::max(*outcomes, *delivery) : outcomes ? outcomes : delivery;
}

std::optional<StartOrder> HeldExecutor::start(const RunId &run, const Resources &demand,
                                              Duration allowedLease)
{
    if (!demand.fitsInto(freeCapacity()) || !mayStart() || m_runs.count(run) > 0
        || allowedLease <= Duration{})
        return std::nullopt;
    m_runs.emplace(run, Run{RunState::Starting, demand, m_fences.current(), {}, {}});
    m_used += demand;
    m_leaseRequested = m_clock.now();
    return StartOrder{run, m_fences.current(), leaseUntil(allowedLease)};
}

std::optional<RunEnd> HeldExecutor::startAnswered(const StartOrder &order, StartAnswer answer)
{
    const auto found = m_runs.find(order.run);
    const bool isConcluded = found == m_runs.end() ? m_isHeld && order.fence >= m_acquiredFence
                                                   : found->second.fence != order.fence;
    if (isConcluded)
        return std::nullopt;
    if (answer != StartAnswer::Started) {
        if (found != m_runs.end())
            remove(found);
        if (answer == StartAnswer::Fenced && order.fence == m_fences.current())
            release();
        const bool isSuperseded = answer == StartAnswer::Superseded;
        return RunEnd{order.run, isSuperseded ? RunOutcome::Superseded : RunOutcome::NotStarted,
                      std::nullopt};
    }
    if (found == m_runs.end() || found->second.state == RunState::Inherited)
        return std::nullopt;
    if (found->second.state == RunState::Running)
        return std::nullopt;
    m_startDelivery.succeeded();
    found->second.state = RunState::Running;
    found->second.confirmed = m_clock.now();
    return std::nullopt;
}

bool HeldExecutor::startUnanswered(const StartOrder &order)
{
    const auto found = m_runs.find(order.run);
    if (found == m_runs.end() || found->second.state != RunState::Starting)
        return false;
    found->second.state = RunState::Unconfirmed;
    if (order.leaseUntil)
        leaseUnanswered(order.fence);
    if (order.fence == m_fences.current())
        m_fences.raise();
    return true;
}

bool HeldExecutor::hasUnconfirmedStarts() const noexcept
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.state == RunState::Unconfirmed;
    });
}

void HeldExecutor::adopt(const RunId &run, const Resources &demand)
{
    const auto [entry, isNew] = m_runs.emplace(run, Run{RunState::Unconfirmed, demand, 0, {}, {}});
    if (isNew) {
        m_used += demand;
        return;
    }
    if (entry->second.state != RunState::Inherited)
        return;
    entry->second.state = RunState::Running;
    entry->second.demand = demand;
    m_used += demand;
    --m_inheritedRuns;
}

std::optional<StopOrder> HeldExecutor::stop(const RunId &run)
{
    const auto found = m_runs.find(run);
    if (!m_isHeld || found == m_runs.end())
        return std::nullopt;
    if (!found->second.stopRequested)
        found->second.stopRequested = m_clock.now();
    return StopOrder{run, m_fences.current()};
}

HoldOrder HeldExecutor::nextHold(const HoldIntervals &intervals, Duration allowedLease)
{
    HoldOrder order;
    order.fence = m_fences.current();
    order.acknowledgedThrough = m_acknowledgedThrough;
    // The lease of an executor that doesn't answer is not renewed, so that its runs end within a
    // known time.
    const bool isRenewed = m_isVerified && !hasUnwantedRuns() && allowedLease > Duration{};
    if (isRenewed)
        order.leaseUntil = leaseUntil(allowedLease);
    // The next renewal is due well before a short lease expires.
    if (m_isVerified && !hasUnconfirmedStarts())
        order.wait =
                std::min(intervals.wait, isRenewed ? allowedLease / 2 : m_settings.unwantedRunWait);
    order.answerTimeout = intervals.answerTimeout;
    order.sent = m_clock.now();
    if (order.leaseUntil)
        m_leaseRequested = order.sent;
    return order;
}

std::optional<ExecutorTime> HeldExecutor::leaseUntil(Duration allowedLease) const
{
    if (!m_executorClock)
        return std::nullopt;
    const Duration since = m_clock.now() - m_executorClockReadAt;
    return *m_executorClock
           + durationAs<ExecutorTime>(since + std::min(m_settings.longestLease, allowedLease));
}

std::vector<RunEnd> HeldExecutor::holdAnswered(const HoldOrder &order, const HoldReport &report)
{
    std::vector<RunEnd> ended;
    if (!m_isHeld)
        return ended;
    const bool isOfEarlierFence = order.fence < m_acquiredFence;
    // Until it saw this holder's fence, the executor obeyed an earlier holder.
    if (!isOfEarlierFence && !std::exchange(m_hasFenceBeenSeen, true))
        m_leaseRequested = std::max(m_leaseRequested, m_clock.now());
    m_hasClosedConnection = false;
    // That the executor has restarted is recorded with its clock and its runs, from the first answer that
    // tells of all three.
    const bool isOfUnknownProcess = isOfEarlierFence && report.incarnation != m_incarnation;
    if (isOfEarlierProcess(report) || isOfUnknownProcess)
        return ended;
    const bool isOutdated = report.incarnation == m_incarnation && m_executorClock
                            && report.clock < *m_executorClock;
    const bool isRestarted = m_incarnation != 0 && report.incarnation != m_incarnation;
    recordIncarnation(report);
    applyEnds(report, ended);
    if (isOutdated || isOfEarlierFence)
        return ended;
    fenceAnswered(order.fence);
    m_executorClock = report.clock;
    m_executorClockReadAt = m_clock.now();
    applyActive(report);
    const std::size_t listed = ended.size();
    applyMissing(order, report, ended);
    for (std::size_t i = listed; i < ended.size(); ++i)
        ended[i].hasExecutorCrashed = isRestarted && ended[i].outcome == RunOutcome::Lost;
    m_isVerified =
            m_isVerified || (order.fence == m_fences.current() && order.sent >= m_leaseInvalidated);
    return ended;
}

// Incarnations are times of day, which may be set back before an executor restarts. Its registration
// tells such a process from one whose answer arrives late.
bool HeldExecutor::isOfEarlierProcess(const HoldReport &report) const noexcept
{
    return report.incarnation < m_incarnation && report.incarnation != m_registration.incarnation;
}

void HeldExecutor::recordIncarnation(const HoldReport &report)
{
    if (report.incarnation == m_incarnation)
        return;
    m_incarnation = report.incarnation;
    m_acknowledgedThrough = 0;
    m_recentEnds.clear();
    m_runOutcomes.succeeded();
    m_startDelivery.succeeded();
}

void HeldExecutor::applyEnds(const HoldReport &report, std::vector<RunEnd> &ended)
{
    for (const ListedEnd &listed : report.ends) {
        if (listed.number <= m_acknowledgedThrough)
            continue;
        m_acknowledgedThrough = listed.number;
        ended.push_back(listed.end);
        recordOutcome(listed.end);
        rememberEnd(listed.end.run);
        const auto found = m_runs.find(listed.end.run);
        if (found == m_runs.end())
            continue;
        if (found->second.state == RunState::Running)
            ended.back().ran = m_clock.now() - found->second.confirmed;
        remove(found);
    }
}

void HeldExecutor::rememberEnd(const RunId &run)
{
    m_recentEnds.push_back(run);
    if (m_recentEnds.size() > MaxRecentEnds)
        m_recentEnds.pop_front();
}

bool HeldExecutor::hasEnded(const RunId &run) const
{
    return std::find(m_recentEnds.begin(), m_recentEnds.end(), run) != m_recentEnds.end();
}

void HeldExecutor::rememberConclusion(const RunId &run)
{
    m_concludedRuns.push_back(run);
    if (m_concludedRuns.size() > MaxRecentEnds)
        m_concludedRuns.pop_front();
}

bool HeldExecutor::isConcluded(const RunId &run) const
{
    return std::find(m_concludedRuns.begin(), m_concludedRuns.end(), run) != m_concludedRuns.end();
}

void HeldExecutor::recordOutcome(const RunEnd &end)
{
    if (end.outcome == RunOutcome::Done)
        m_runOutcomes.succeeded();
    else if (end.outcome == RunOutcome::Failed)
        m_runOutcomes.failed(end.run.task.substr(0, end.run.task.find('.')), m_clock.now());
}

void HeldExecutor::applyActive(const HoldReport &report)
{
    for (const RunId &run : report.active) {
        // The executor's clock doesn't order two answers that were written in the same millisecond.
        if (hasEnded(run))
            continue;
        const auto [entry, isNew] = m_runs.emplace(run, Run{RunState::Inherited, {}, 0, {}, {}});
        if (isNew) {
            ++m_inheritedRuns;
            entry->second.isConcluded = isConcluded(run);
            entry->second.confirmed = m_clock.now();
        } else if (entry->second.state == RunState::Unconfirmed) {
            m_startDelivery.succeeded();
            entry->second.state = RunState::Running;
            entry->second.confirmed = m_clock.now();
        }
    }
}

void HeldExecutor::applyMissing(const HoldOrder &order, const HoldReport &report,
                                std::vector<RunEnd> &ended)
{
    const std::set<RunId> active(report.active.begin(), report.active.end());
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto next = std::next(run);
        const auto outcome =
                active.count(run->first) > 0 ? std::nullopt : outcomeOfMissing(run->second, order);
        if (outcome) {
            // A claimed run of an earlier holder (fence 0) doesn't show whether starts are
            // delivered now. Starts under the same fence count once, since they may have been lost
            // together.
            if (*outcome == RunOutcome::NotStarted && run->second.fence > 0)
                m_startDelivery.failed(std::to_string(run->second.fence), m_clock.now());
            ended.push_back({run->first, *outcome, std::nullopt});
            rememberConclusion(run->first);
            remove(run);
        }
        run = next;
    }
}

// An answer doesn't cover runs that the executor may have received after it was written.
std::optional<RunOutcome> HeldExecutor::outcomeOfMissing(const Run &run,
                                                         const HoldOrder &order) const
{
    switch (run.state) {
    case RunState::Starting:
        return std::nullopt;
    case RunState::Unconfirmed:
        return order.fence > run.fence ? std::make_optional(RunOutcome::NotStarted) : std::nullopt;
    case RunState::Running:
    case RunState::Inherited:
        return run.confirmed <= order.sent ? std::make_optional(RunOutcome::Lost) : std::nullopt;
    }
    return std::nullopt;
}

bool HeldExecutor::holdFenced(const HoldOrder &order) noexcept
{
    if (!m_isHeld || order.fence != m_fences.current())
        return false;
    release();
    return true;
}

void HeldExecutor::invalidateHold(const HoldOrder &order)
{
    if (!order.leaseUntil)
        return;
    leaseUnanswered(order.fence);
    if (order.fence == m_fences.current())
        m_fences.raise();
}

/// Records an order without an answer, which may renew the lease until the executor has seen a higher fence.
void HeldExecutor::leaseUnanswered(Fence fence)
{
    if (fence >= m_answeredFence)
        m_openLeases.push_back(fence);
}

void HeldExecutor::fenceAnswered(Fence fence)
{
    m_answeredFence = std::max(m_answeredFence, fence);
    const auto isRejected = [this](Fence open) { return open < m_answeredFence; };
    m_openLeases.erase(std::remove_if(m_openLeases.begin(), m_openLeases.end(), isRejected),
                       m_openLeases.end());
}

// Each open order may be carried out just before the lease expires, and its lease counts from then.
MonotonicTime HeldExecutor::latestEndOfLease() const
{
    const auto lease =
            durationAs<Duration>(m_settings.longestLease * (1.0 + m_settings.largestClockDrift));
    return m_leaseRequested + lease * (1 + m_openLeases.size()) + m_settings.maxTransit;
}

std::vector<RunEnd> HeldExecutor::holdUnanswered(bool isClosedByExecutor)
{
    m_isVerified = false;
    m_hasClosedConnection = m_hasClosedConnection || isClosedByExecutor;
    std::vector<RunEnd> ended;
    if (!m_hasFenceBeenSeen || m_clock.now() < latestEndOfLease())
        return ended;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto next = std::next(run);
        if (!mayStartLater(run->second)) {
            const bool wasRunning = run->second.state == RunState::Running;
            ended.push_back({run->first, RunOutcome::Lapsed, std::nullopt,
                             wasRunning && m_hasClosedConnection, true});
            rememberConclusion(run->first);
            remove(run);
        }
        run = next;
    }
    return ended;
}

// A claimed run of an earlier holder has no fence here. The executor rejects that holder's orders once it
// has seen a fence of this one.
bool HeldExecutor::mayStartLater(const Run &run) noexcept
{
    return run.state == RunState::Starting || (run.state == RunState::Unconfirmed && run.fence > 0);
}

bool HeldExecutor::isStartOpen(const RunId &run) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end()
           && (found->second.state == RunState::Starting
               || found->second.state == RunState::Unconfirmed);
}

bool HeldExecutor::isOver(const RunId &run, Fence startFence) const
{
    if (!m_isHeld || !m_isVerified || m_runs.count(run) > 0)
        return false;
    const bool isOwnStart = startFence >= m_acquiredFence && startFence <= m_fences.current();
    return isOwnStart || m_answeredFence > startFence;
}

std::vector<RunId> HeldExecutor::runIds() const
{
    std::vector<RunId> ids;
    ids.reserve(m_runs.size());
    for (const auto &[id, run] : m_runs)
        ids.push_back(id);
    return ids;
}

std::vector<RunId> HeldExecutor::orphans() const
{
    std::vector<RunId> found;
    if (m_inheritedRuns == 0 || !m_isHeld)
        return found;
    for (const auto &[id, run] : m_runs) {
        if (run.state == RunState::Inherited
            && (run.isConcluded || m_clock.now() - run.confirmed >= m_settings.orphanGrace))
            found.push_back(id);
    }
    return found;
}

void HeldExecutor::remove(Runs::iterator run)
{
    m_used -= run->second.demand;
    m_inheritedRuns -= run->second.state == RunState::Inherited ? 1 : 0;
    m_runs.erase(run);
}

} // namespace anvilmill
