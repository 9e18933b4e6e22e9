#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/circuitbreaker.h"
#include "anvilmill/executor/executorregistration.h"
#include "anvilmill/executor/fence.h"
#include "anvilmill/executor/losstracker.h"
#include "anvilmill/executor/run.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Time on an executor's own clock, from its start.
using ExecutorTime = std::chrono::milliseconds;

/// \brief How an executor is held.
struct HoldSettings
{
    /// Longest lease that an executor grants; from the machine's settings.
    Duration longestLease = std::chrono::seconds(1);
    /// How holds are paced while orders are answered. Wait and patience together are well under the
    /// lease, so that one lost hold lets nothing lapse; an answer takes a round trip of 3 ms, and a
    /// cut link shows as no answer.
    HoldPace pace{std::chrono::milliseconds(400), std::chrono::milliseconds(250),
                  std::chrono::milliseconds(100)};
    /// How long an order may be under way on a connection that is then given up.
    Duration longestTransit = std::chrono::milliseconds(300);
    /// By how much an executor's clock may be slow.
    double largestClockDrift = 0.02;
    /// How long runs that no host of this membership answers for may go on: the time that their
    /// host needs to name them after a change of holder.
    Duration orphanGrace = std::chrono::milliseconds(300);
};

/// \brief An order to start a run.
struct StartOrder
{
    RunId run;
    Fence fence = 0;
    /// The lease that the start asks for; absent until the executor's clock is known.
    std::optional<ExecutorTime> leaseUntil;
};

/// \brief An order to stop a run; void if the run is not there.
struct StopOrder
{
    RunId run;
    Fence fence = 0;
};

/// \brief A call that renews the lease, acknowledges ends and asks for what runs.
struct HoldOrder
{
    Fence fence = 0;
    std::uint64_t acknowledgedThrough = 0;
    std::optional<ExecutorTime> leaseUntil;
    Duration wait{};
    /// How long the answer may take beyond the wait.
    Duration patience{};
    MonotonicTime sent;
};

/// \brief An end as the executor lists it, numbered within its incarnation.
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
    /// Another holder has a higher fence.
    Fenced,
    /// The executor has seen this or a later run of the task end or be stopped.
    Superseded,
    /// The lease asked for had passed, the room is taken, or the executor takes no starts.
    Refused,
};

/// \brief What one host knows and decides about an executor that it holds.
///
/// One host holds an executor at a time; the executor obeys the highest fence. Room counts every
/// run that may be there, also starts whose answer was lost. Such a start can't take effect
/// later than a hold under a raised fence, so it is settled by the first answer to one.
///
/// Thread safety: one thread at a time.
class HeldExecutor
{
public:
    /// Precondition: \p clock outlives the object.
    HeldExecutor(const Clock &clock, const HoldSettings &settings,
                 ExecutorRegistration registration);

    /// \brief Takes what changed in the registration.
    void update(const ExecutorRegistration &registration);

    /// \brief Becomes the holder under \p membership; starts nothing until a hold is answered.
    void acquire(StoreVersion membership);

    /// \brief Lets go of the executor: its runs go on, and are the next holder's to answer for.
    void release() noexcept;

    /// \brief Call after this process was suspended: leases may have lapsed meanwhile.
    void invalidateLease() noexcept;

    /// \brief True while this host is the holder and was not told of a higher fence.
    [[nodiscard]] bool isHeld() const noexcept { return m_isHeld; }

    /// \brief True if starts may be sent: held, verified, not draining, nothing unknown running.
    [[nodiscard]] bool mayStart() const noexcept;

    /// \brief Room for starts; nothing unless mayStart() and its runs end well.
    [[nodiscard]] Resources room() const noexcept;

    [[nodiscard]] const CircuitBreaker &runBreaker() const noexcept { return m_runBreaker; }

    /// \brief When room may come back with time alone: after runs that failed or starts that were lost.
    [[nodiscard]] std::optional<MonotonicTime> nextProbe() const noexcept;

    /// \brief Reserves room for \p run; nothing if it doesn't fit or may not start.
    [[nodiscard]] std::optional<StartOrder> start(const RunId &run, const Resources &demand);

    /// \brief Takes the answer to a start; returns the run's end if it will never run.
    [[nodiscard]] std::optional<RunEnd> startAnswered(const StartOrder &order, StartAnswer answer);

    /// \brief The start may or may not take effect; raises the fence to settle it.
    ///
    /// The next hold settles it; several may be under way. Returns false if the start was answered or
    /// given up before.
    bool startUnanswered(const StartOrder &order);

    /// \brief True if the next hold has to settle starts that were not answered.
    [[nodiscard]] bool hasUnconfirmedStarts() const noexcept;

    /// \brief Answers for a run that an earlier holder was asked to start.
    ///
    /// Whether it is there is settled by the first answer to a hold of this holder.
    void adopt(const RunId &run, const Resources &demand);

    /// \brief The order to stop \p run; nothing if it isn't here.
    [[nodiscard]] std::optional<StopOrder> stop(const RunId &run);

    /// \brief The next hold, to be sent now. It doesn't wait while there is something to settle.
    [[nodiscard]] HoldOrder nextHold(const HoldPace &pace);

    /// \brief Takes the answer to a hold; returns the runs that ended.
    ///
    /// Answers to holds that were under way together may come in any order: of one that the executor
    /// wrote before another that is known, only the ends count.
    [[nodiscard]] std::vector<RunEnd> holdAnswered(const HoldOrder &order,
                                                   const HoldReport &report);

    /// \brief Another holder has a higher fence; returns true if it is not an own, raised one.
    bool holdFenced(const HoldOrder &order) noexcept;

    /// \brief No answer to a hold. Returns the runs whose lease has certainly lapsed since.
    ///
    /// None before a hold of this holder was answered: an earlier one that can reach the executor
    /// may go on renewing its lease.
    [[nodiscard]] std::vector<RunEnd> holdUnanswered();

    /// \brief Runs that an earlier holder started and that have outlasted the orphan grace.
    [[nodiscard]] std::vector<RunId> orphans() const;

    [[nodiscard]] const ExecutorRegistration &registration() const noexcept
    {
        return m_registration;
    }
    [[nodiscard]] bool knows(const RunId &run) const { return m_runs.count(run) > 0; }
    [[nodiscard]] std::size_t runs() const noexcept { return m_runs.size(); }
    [[nodiscard]] Fence fence() const noexcept { return m_fences.current(); }

private:
    enum class RunState {
        /// The start is on its way.
        Starting,
        /// The start's answer was lost.
        Uncertain,
        Running,
        /// Started by an earlier holder; what it uses isn't known.
        Foreign,
    };
    struct Run
    {
        RunState state = RunState::Starting;
        Resources demand;
        Fence fence = 0;
        /// When the executor was first known to have the run.
        MonotonicTime confirmed;
    };
    using Runs = std::map<RunId, Run>;

    [[nodiscard]] std::optional<ExecutorTime> leaseUntil() const;
    [[nodiscard]] std::size_t unansweredStarts() const noexcept;
    void noteOutcome(const RunEnd &end);
    void noteIncarnation(const HoldReport &report);
    void takeEnds(const HoldReport &report, std::vector<RunEnd> &ended);
    void takeActive(const HoldReport &report);
    void takeMissing(const HoldOrder &order, const HoldReport &report, std::vector<RunEnd> &ended);
    [[nodiscard]] std::optional<RunOutcome> outcomeOfMissing(const Run &run,
                                                             const HoldOrder &order) const;
    void remove(Runs::iterator run);

    const Clock &m_clock;
    HoldSettings m_settings;
    ExecutorRegistration m_registration;
    FenceSequence m_fences;
    CircuitBreaker m_runBreaker;
    /// Judges by starts that never got there, instead of runs.
    CircuitBreaker m_startBreaker;
    Runs m_runs;
    Resources m_used;
    std::size_t m_foreign = 0;
    std::uint64_t m_acknowledgedThrough = 0;
    std::uint64_t m_incarnation = 0;
    std::optional<ExecutorTime> m_executorClock;
    MonotonicTime m_clockRead;
    /// Answers to holds that were sent before this say nothing.
    MonotonicTime m_doubted;
    /// When the last order that may have renewed the lease was sent.
    MonotonicTime m_leaseAsked;
    bool m_isHeld = false;
    /// True once the executor has seen a fence of this takeover.
    bool m_isFenceInPlace = false;
    bool m_isVerified = false;
};

} // namespace anvilmill
