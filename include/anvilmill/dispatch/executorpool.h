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
    /// True if the executor is new or being probed.
    bool isOnTrial = false;
};

/// \brief The executors of a data centre: free slots by learned speed, pauses and ejections.
///
/// Executors that run the same services form a group; a placement is the set of groups that can
/// run a service. Taking and releasing a slot costs O(log executors).
///
/// Thread safety: one thread at a time.
class ExecutorPool
{
public:
    /// Precondition: the references outlive the pool.
    ExecutorPool(const Clock &clock, RandomSource &random, const RunTimeEstimator &estimator,
                 const HealthSettings &settings);

    /// \brief Replaces the executors. Those known by name keep their state and their starts.
    void setExecutors(const std::vector<ExecutorInfo> &executors);

    /// \brief The placement of \p service; changes only with setExecutors().
    [[nodiscard]] std::size_t placementOf(const std::string &service);
    [[nodiscard]] std::size_t placements() const noexcept { return m_placements.size(); }

    /// \brief False if no executor runs the services of \p placement.
    [[nodiscard]] bool isServed(std::size_t placement) const;

    /// \brief The fastest free slot of \p placement that may take \p service.
    [[nodiscard]] std::optional<FreeSlot> fastestFree(std::size_t placement,
                                                      std::size_t service) const;

    /// \brief The slowest free slot of \p placement that may take \p service.
    [[nodiscard]] std::optional<FreeSlot> slowestFree(std::size_t placement,
                                                      std::size_t service) const;

    void take(std::size_t executor);
    void release(std::size_t executor, std::size_t service, StartEnd end);

    /// \brief Applies what changed with time alone. Call before looking for free slots.
    void refresh();

    /// \brief Work per second that all usable slots do together, or those of \p placement.
    [[nodiscard]] double capacity() const noexcept { return m_capacity; }
    [[nodiscard]] double capacityOf(std::size_t placement) const;

    /// \brief The speed of the fastest usable executor of \p placement.
    [[nodiscard]] double fastestSpeed(std::size_t placement) const;
    [[nodiscard]] int totalSlots() const noexcept { return m_totalSlots; }
    [[nodiscard]] int freeSlots() const noexcept { return m_freeSlots; }
    [[nodiscard]] std::size_t ejectedExecutors() const noexcept { return m_ejected; }
    [[nodiscard]] const std::string &nameOf(std::size_t executor) const;
    [[nodiscard]] std::optional<std::size_t> find(const std::string &name) const;

    /// \brief When refresh() may free a slot, if ever.
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

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
        /// Failures in a row by service, and until when the service is kept away.
        std::unordered_map<std::size_t, std::pair<int, MonotonicTime>> failingServices;
        bool isKnown = false;
        bool isListed = false;
        bool isStalled = false;
        /// When starts in flight on trial count as outlasted, if any are.
        std::optional<MonotonicTime> trialStepAt;
        /// The key in its group's free slots, if there.
        std::optional<double> listedSpeed;
        int listedSlots = 0;
    };
    using FreeExecutors = std::set<std::pair<double, std::size_t>>;
    /// What the usable executors of one placement can do together.
    struct Capacity
    {
        double workPerSecond = 0.0;
        double fastestSpeed = 1.0;
    };

    void applyInfo(const ExecutorInfo &info);
    void updateListing(std::size_t index);
    [[nodiscard]] int usableSlots(const Executor &executor) const;
    [[nodiscard]] std::optional<FreeSlot> freeSlotOf(const std::pair<double, std::size_t> &entry,
                                                     std::size_t service) const;
    [[nodiscard]] bool accepts(const Executor &executor, std::size_t service) const;
    void recordSuccess(std::size_t index, std::size_t service);
    void recordFailure(std::size_t index, std::size_t service);
    void pause(std::size_t index);
    void awaitTrialStep(std::size_t index);
    void finishTrialStep(std::size_t index);
    void wakeAt(MonotonicTime time, std::size_t index);
    void refreshCapacities();
    [[nodiscard]] Capacity sumOf(const std::vector<std::size_t> &groups) const;
    [[nodiscard]] bool isUsable(const Executor &executor) const;
    void findStalled();

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
    std::multimap<MonotonicTime, std::size_t> m_wakes;
    std::vector<Capacity> m_capacities;
    MonotonicTime m_capacitiesDue;
    double m_capacity = 0.0;
    int m_totalSlots = 0;
    int m_freeSlots = 0;
    std::size_t m_ejected = 0;
    std::size_t m_known = 0;
};

} // namespace anvilmill
