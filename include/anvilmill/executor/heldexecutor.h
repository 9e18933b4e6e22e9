#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/circuitbreaker.h"
#include "anvilmill/executor/executorregistration.h"
#include "anvilmill/executor/fence.h"
#include "anvilmill/executor/losstracker.h"
#include "anvilmill/executor/run.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Time on an executor's own clock, measured from the start of its process.
using ExecutorTime = std::chrono::milliseconds;

/// \brief Timing of the lease on an executor and of the holds that renew it.
struct HoldSettings
{
    /// Longest lease that an executor grants; set in the machine's settings.
    Duration longestLease = std::chrono::seconds(1);
    /// Intervals of holds (lease renewals) while no orders are lost. Wait and timeout together are
    /// well below the lease, so that one lost hold doesn't let the lease expire. An answer takes a
    /// round trip of 3 ms; if the link is cut, none arrives.
    HoldIntervals holdIntervals{std::chrono::milliseconds(400), std::chrono::milliseconds(250),
                                std::chrono::milliseconds(100)};
    /// Longest time for which an order may be in transit on a connection that is then abandoned.
    Duration maxTransit = std::chrono::milliseconds(300);
    /// Largest fraction by which an executor's clock may run slow.
    double largestClockDrift = 0.02;
    /// How long orphaned runs, which no host of this membership claims, may continue: the time that
    /// the host responsible for them needs to claim them after a change of holder.
    Duration orphanGrace = std::chrono::milliseconds(300);
    /// How long after a run's first stop order the lease is still renewed: the time that a stop takes
    /// and one repetition.
    Duration stopGrace = std::chrono::milliseconds(200);
    /// Longest wait of a hold while the lease is not renewed for an unwanted run.
    Duration unwantedRunWait = std::chrono::milliseconds(50);
};

/// \brief An order to start a run.
struct StartOrder
{
    RunId run;
    Fence fence = 0;
    /// The requested end of the lease; absent until the executor has reported its clock.
    std::optional<ExecutorTime> leaseUntil;
};

/// \brief An order to stop a run; a no-op if the executor doesn't have the run.
struct StopOrder
{
    RunId run;
    Fence fence = 0;
};

/// \brief A hold: the call that renews the lease, acknowledges ended runs and requests the active
/// ones.
struct HoldOrder
{
    Fence fence = 0;
    std::uint64_t acknowledgedThrough = 0;
    std::optional<ExecutorTime> leaseUntil;
    Duration wait{};
    /// Timeout of the answer, in addition to the wait.
    Duration answerTimeout{};
    MonotonicTime sent;
};

/// \brief An ended run as listed by the executor, numbered within its incarnation.
struct ListedEnd
{
    std::uint64_t number = 0;
    RunEnd end;
};

/// \brief The executor's answer to a hold.
struct HoldReport
{
    ExecutorTime clock{};
    std::uint64_t incarnation = 0;
    std::vector<RunId> active;
    std::vector<ListedEnd> ends;
};

/// \brief The executor's answer to a start.
enum class StartAnswer {
    Started,
    /// The executor has seen a higher fence of another holder.
    Fenced,
    /// On the executor, this or a later run of the task has already ended or been stopped.
    Superseded,
    /// The requested lease had expired, capacity is insufficient, or the executor accepts no
    /// starts.
    Refused,
};

/// \brief The state of an executor as recorded by its lease holder, and the holder's decisions
/// about it.
///
/// The lease holder is the entry host that holds the lease on the executor; there is one at a time,
/// and the executor obeys the highest fence. Used capacity includes every run that may exist,
/// including starts whose answer was lost. Such a start can't take effect after a hold under a
/// raised fence, so the first answer to such a hold determines whether the run exists.
///
/// The lease covers all runs of the executor. It is renewed only while each of them is wanted: not
/// before an inherited run is claimed, nor while the stop of a run is overdue. So an unwanted run ends
/// within a known time even if no stop arrives. For the same reason the caller limits the lease by the
/// time since it last heard from the hosts that want the runs.
///
/// Thread safety: one thread at a time.
class HeldExecutor
{
public:
    /// Precondition: \p clock outlives the object.
    HeldExecutor(const Clock &clock, const HoldSettings &settings,
                 ExecutorRegistration registration);

    /// \brief Applies a changed registration.
    void update(const ExecutorRegistration &registration);

    /// \brief Makes later fences higher than \p last, the last one of an earlier record of the same
    /// executor. Call before acquire().
    void continueFences(Fence last) noexcept { m_fences.continueAfter(last); }

    /// \brief Makes this host the holder under \p membership; no run is started until a hold is
    /// answered.
    void acquire(StoreVersion membership);

    /// \brief Releases the executor: its runs continue, and the next holder is responsible for
    /// them.
    void release() noexcept;

    /// \brief Call after this process was suspended, since the lease may have expired meanwhile.
    void invalidateLease() noexcept;

    /// \brief True while this host is the holder and no executor answer has reported a higher
    /// fence.
    [[nodiscard]] bool isHeld() const noexcept { return m_isHeld; }

    /// \brief True if starts may be sent: the executor is held, verified, not draining and has no
    /// unwanted runs.
    [[nodiscard]] bool mayStart() const noexcept;

    /// \brief Free capacity for starts; zero unless mayStart() and both circuit breakers allow a
    /// start.
    [[nodiscard]] Resources freeCapacity() const noexcept;

    [[nodiscard]] const CircuitBreaker &circuitBreaker() const noexcept { return m_runOutcomes; }

    /// \brief The time from which a probe is allowed, after failed runs or lost starts;
    /// std::nullopt if both circuit breakers are closed.
    [[nodiscard]] std::optional<MonotonicTime> nextProbe() const noexcept;

    /// \brief Reserves capacity for \p run; std::nullopt if it doesn't fit, may not start, or
    /// \p allowedLease isn't positive.
    [[nodiscard]] std::optional<StartOrder> start(const RunId &run, const Resources &demand,
                                                  Duration allowedLease = Duration::max());

    /// \brief Applies the answer to a start; returns the run's end if it will never run.
    ///
    /// Ignores the answer to an order whose run has been concluded, since the run may have been
    /// requested again under a later fence.
    [[nodiscard]] std::optional<RunEnd> startAnswered(const StartOrder &order, StartAnswer answer);

    /// \brief Handles a start without an answer, which may or may not take effect, by raising the
    /// fence.
    ///
    /// The answer to a hold under the raised fence determines whether the run exists; several holds
    /// may be in flight. Returns false if the start was already answered or reported as unanswered,
    /// or its run was removed.
    bool startUnanswered(const StartOrder &order);

    /// \brief True if there are runs that the next hold has to confirm or rule out.
    [[nodiscard]] bool hasUnconfirmedStarts() const noexcept;

    /// \brief Adds a claimed run that an earlier holder was requested to start.
    ///
    /// The first answer to a hold of this holder determines whether the run exists.
    void adopt(const RunId &run, const Resources &demand);

    /// \brief The order to stop \p run; std::nullopt if the executor is not held or has no such
    /// run. From the stop grace period after the first one, the lease is not renewed.
    [[nodiscard]] std::optional<StopOrder> stop(const RunId &run);

    /// \brief Returns the next hold, to be sent immediately. Its wait is zero until the executor is
    /// verified and while hasUnconfirmedStarts().
    ///
    /// It requests no longer lease than \p allowedLease, and none if that isn't positive.
    [[nodiscard]] HoldOrder nextHold(const HoldIntervals &intervals,
                                     Duration allowedLease = Duration::max());

    /// \brief Applies the answer to a hold; returns the runs that ended.
    ///
    /// Answers to concurrent holds may arrive in any order. If the executor wrote this answer
    /// before one that was already applied, only the ended runs in it are used.
    [[nodiscard]] std::vector<RunEnd> holdAnswered(const HoldOrder &order,
                                                   const HoldReport &report);

    /// \brief Handles the rejection of a hold by a higher fence; returns true if that fence is
    /// another holder's rather than one that this holder raised itself.
    bool holdFenced(const HoldOrder &order) noexcept;

    /// \brief Raises the fence, so that \p order, which got no answer, renews no lease once the executor
    /// has received a later order. Call for each hold without an answer.
    void invalidateHold(const HoldOrder &order);

    /// \brief Handles a hold without an answer; returns the runs whose lease has certainly expired.
    ///
    /// A start without an answer isn't among them: the executor may carry it out at any later time,
    /// until it has seen a higher fence. Returns none before a hold of this holder was answered, since an earlier holder that still
    /// reaches the executor may be renewing the lease. \p isClosedByExecutor is that of the reply: an
    /// executor that closes its connections and answers nothing more has crashed.
    [[nodiscard]] std::vector<RunEnd> holdUnanswered(bool isClosedByExecutor = false);

    /// \brief Runs inherited from an earlier holder that are unclaimed after the orphan grace
    /// period, and at once those that this holder has reported as not started, lost or lapsed.
    ///
    /// The next process of an executor has seen no fence, and may carry out a start that the former one
    /// would reject.
    [[nodiscard]] std::vector<RunId> orphans() const;

    [[nodiscard]] const ExecutorRegistration &registration() const noexcept
    {
        return m_registration;
    }
    [[nodiscard]] bool hasRun(const RunId &run) const { return m_runs.count(run) > 0; }
    [[nodiscard]] std::size_t runs() const noexcept { return m_runs.size(); }

    /// \brief True if the start of \p run was sent and has neither been answered nor ruled out.
    [[nodiscard]] bool isStartOpen(const RunId &run) const;

    /// \brief True if \p run, whose start was ordered under \p startFence by any holder, isn't on the
    /// executor and can't begin there any more.
    ///
    /// False while it can't be told. A record of this holder's own starts is complete; those of others are
    /// ruled out once the executor has answered a higher fence.
    [[nodiscard]] bool isOver(const RunId &run, Fence startFence) const;
    [[nodiscard]] std::vector<RunId> runIds() const;
    [[nodiscard]] Fence fence() const noexcept { return m_fences.current(); }

private:
    enum class RunState {
        /// The start was sent and has not been answered.
        Starting,
        /// The answer to the start was lost, or an earlier holder's run was claimed before a hold
        /// confirmed it.
        Unconfirmed,
        Running,
        /// Started by an earlier holder; its demand is unknown.
        Inherited,
    };
    struct Run
    {
        RunState state = RunState::Starting;
        Resources demand;
        Fence fence = 0;
        /// When the run was first confirmed to be on the executor.
        MonotonicTime confirmed;
        /// When the run was first requested to stop.
        std::optional<MonotonicTime> stopRequested;
        /// This holder has reported the run as over before the executor listed it.
        bool isConcluded = false;
    };
    using Runs = std::map<RunId, Run>;

    [[nodiscard]] std::optional<ExecutorTime> leaseUntil(Duration allowedLease) const;
    void leaseUnanswered(Fence fence);
    void fenceAnswered(Fence fence);
    [[nodiscard]] MonotonicTime latestEndOfLease() const;
    [[nodiscard]] std::size_t unansweredStarts() const noexcept;
    /// True if the executor may still carry out the order that started \p run.
    [[nodiscard]] static bool mayStartLater(const Run &run) noexcept;
    /// True if a run may still be active that no host wants.
    [[nodiscard]] bool hasUnwantedRuns() const noexcept;
    void recordOutcome(const RunEnd &end);
    void rememberEnd(const RunId &run);
    [[nodiscard]] bool hasEnded(const RunId &run) const;
    void rememberConclusion(const RunId &run);
    [[nodiscard]] bool isConcluded(const RunId &run) const;
    [[nodiscard]] bool isOfEarlierProcess(const HoldReport &report) const noexcept;
    void recordIncarnation(const HoldReport &report);
    void applyEnds(const HoldReport &report, std::vector<RunEnd> &ended);
    void applyActive(const HoldReport &report);
    void applyMissing(const HoldOrder &order, const HoldReport &report, std::vector<RunEnd> &ended);
    [[nodiscard]] std::optional<RunOutcome> outcomeOfMissing(const Run &run,
                                                             const HoldOrder &order) const;
    void remove(Runs::iterator run);

    const Clock &m_clock;
    HoldSettings m_settings;
    ExecutorRegistration m_registration;
    FenceSequence m_fences;
    CircuitBreaker m_runOutcomes;
    /// Circuit breaker that counts starts that were never delivered, rather than failed runs.
    CircuitBreaker m_startDelivery;
    Runs m_runs;
    /// Runs that have ended last; an answer written just before may still list them as active.
    std::deque<RunId> m_recentEnds;
    /// Runs reported last as over without an end that the executor listed, in the present tenure.
    std::deque<RunId> m_concludedRuns;
    Resources m_used;
    std::size_t m_inheritedRuns = 0;
    std::uint64_t m_acknowledgedThrough = 0;
    std::uint64_t m_incarnation = 0;
    std::optional<ExecutorTime> m_executorClock;
    MonotonicTime m_executorClockReadAt;
    /// Answers to holds sent before this don't verify the lease.
    MonotonicTime m_leaseInvalidated;
    /// When the last order that may have renewed the lease was sent.
    MonotonicTime m_leaseRequested;
    /// The highest fence of a hold that was answered.
    Fence m_answeredFence = 0;
    /// The fences of holds without an answer that request a lease and may still be carried out.
    std::vector<Fence> m_openLeases;
    /// The first fence since this host became the holder. Answers to earlier orders tell nothing of runs
    /// that other holders have started since.
    Fence m_acquiredFence = 0;
    bool m_isHeld = false;
    /// True once the executor has answered a hold under a fence raised since the lease was
    /// acquired.
    bool m_hasFenceBeenSeen = false;
    bool m_isVerified = false;
    /// The executor has closed a connection since its last answer.
    bool m_hasClosedConnection = false;
};

} // namespace anvilmill
