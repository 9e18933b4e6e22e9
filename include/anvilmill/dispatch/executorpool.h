#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/dispatcher.h"
#include "anvilmill/dispatch/executorhealth.h"
#include "anvilmill/dispatch/executorinfo.h"
#include "anvilmill/dispatch/nameindex.h"
#include "anvilmill/dispatch/runtimeestimator.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

class RandomSource;

/// \brief A free slot, with the learned speed of its executor.
struct FreeSlot
{
    std::size_t executor = 0;
    double speed = 1.0;
    /// True if the executor is in slow start or being probed.
    bool isInSlowStart = false;
};

/// \brief The executors of a data centre, with free slots ordered by learned speed.
///
/// Pauses executors that refuse starts and ejects those that fail them.
///
/// Executors that run the same services form a group; a placement is the set of groups that can
/// run a service. Acquiring and releasing a slot is O(log executors).
///
/// Thread safety: one thread at a time.
class ExecutorPool
{
public:
    /// Precondition: the references outlive the pool.
    ExecutorPool(const Clock &clock, RandomSource &random, const RunTimeEstimator &estimator,
                 const HealthSettings &settings);

    /// \brief Replaces the executors. Those listed before keep their state and their starts.
    void setExecutors(const std::vector<ExecutorInfo> &executors);

    /// \brief Returns the placement of \p service, valid until the next setExecutors().
    [[nodiscard]] std::size_t placementOf(const std::string &service);
    [[nodiscard]] std::size_t placements() const noexcept { return m_placements.size(); }

    /// \brief Returns false if no executor belongs to \p placement.
    [[nodiscard]] bool isServed(std::size_t placement) const;

    /// \brief Returns the fastest free slot of \p placement that accepts \p service.
    [[nodiscard]] std::optional<FreeSlot> fastestFreeSlot(std::size_t placement,
                                                          std::size_t service) const;

    /// \brief Returns the slowest free slot of \p placement that accepts \p service.
    [[nodiscard]] std::optional<FreeSlot> slowestFreeSlot(std::size_t placement,
                                                          std::size_t service) const;

    void acquireSlot(std::size_t executor);
    void releaseSlot(std::size_t executor, std::size_t service, StartOutcome end);

    /// \brief Applies changes that are due by time: the end of pauses, probes, slow start steps and
    /// capacity updates. Call before looking for free slots.
    void refresh();

    /// \brief Returns the work per second of all usable slots, or of those of \p placement.
    [[nodiscard]] double capacity() const noexcept { return m_capacity; }
    [[nodiscard]] double capacityOf(std::size_t placement) const;

    /// \brief Returns the speed of the fastest usable executor of \p placement.
    [[nodiscard]] double fastestSpeed(std::size_t placement) const;
    [[nodiscard]] int totalSlots() const noexcept { return m_totalSlots; }
    [[nodiscard]] int freeSlots() const noexcept { return m_freeSlots; }
    [[nodiscard]] std::size_t ejectedExecutors() const noexcept { return m_ejected; }
    [[nodiscard]] const std::string &nameOf(std::size_t executor) const;
    [[nodiscard]] std::optional<std::size_t> find(const std::string &name) const;

    /// \brief Returns when refresh() may next free a slot, if ever.
    [[nodiscard]] std::optional<MonotonicTime> nextWakeTime() const;

private:
    struct Executor
    {
        ExecutorInfo info;
        ExecutorHealth health;
        std::size_t group = 0;
        int inFlight = 0;
        int pauses = 0;
        MonotonicTime pausedUntil;
        MonotonicTime lastEnd;
        /// By service: consecutive failures, and the time until which it is excluded.
        std::unordered_map<std::size_t, std::pair<int, MonotonicTime>> failingServices;
        bool isInList = false;
        bool isListed = false;
        bool isStalled = false;
        /// End of the current slow start step, if there is one.
        std::optional<MonotonicTime> slowStartStepEnd;
        /// Speed by which the group's free list orders the executor, if it is in that list.
        std::optional<double> freeListSpeed;
        /// The executor's part of m_freeSlots.
        int countedSlots = 0;
    };
    using FreeExecutors = std::set<std::pair<double, std::size_t>>;
    /// Total capacity of the usable executors of one placement.
    struct Capacity
    {
        double workPerSecond = 0.0;
        double fastestSpeed = 1.0;
    };

    void updateExecutor(const ExecutorInfo &info);
    void updateFreeList(std::size_t index);
    [[nodiscard]] int usableSlots(const Executor &executor) const;
    [[nodiscard]] std::optional<FreeSlot> freeSlotOf(const std::pair<double, std::size_t> &entry,
                                                     std::size_t service) const;
    [[nodiscard]] bool accepts(const Executor &executor, std::size_t service) const;
    void recordSuccess(std::size_t index, std::size_t service);
    void recordFailure(std::size_t index, std::size_t service);
    void pause(std::size_t index);
    void beginSlowStartStep(std::size_t index);
    void finishSlowStartStep(std::size_t index);
    void scheduleWake(MonotonicTime time, std::size_t index);
    void refreshCapacities();
    [[nodiscard]] Capacity totalCapacityOf(const std::vector<std::size_t> &groups) const;
    [[nodiscard]] bool isUsable(const Executor &executor) const;
    void markStalled();

    const Clock &m_clock;
    RandomSource &m_random;
    const RunTimeEstimator &m_estimator;
    HealthSettings m_settings;
    NameIndex m_names;
    std::vector<Executor> m_executors;
    std::vector<FreeExecutors> m_groups;
    std::map<std::vector<std::string>, std::size_t> m_groupIndexes;
    std::map<std::vector<std::size_t>, std::size_t> m_placementIndexes;
    std::vector<std::vector<std::size_t>> m_placements;
    std::unordered_map<std::string, std::size_t> m_servicePlacements;
    std::multimap<MonotonicTime, std::size_t> m_wakeTimes;
    std::vector<Capacity> m_capacities;
    MonotonicTime m_nextCapacityRefresh;
    double m_capacity = 0.0;
    int m_totalSlots = 0;
    int m_freeSlots = 0;
    std::size_t m_ejected = 0;
    std::size_t m_listedExecutorCount = 0;
};

} // namespace anvilmill
