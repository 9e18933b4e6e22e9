#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/job.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace anvilmill {

/// \brief Priority of a job; a job of a higher rank starts first, regardless of size.
enum class QueueRank { Urgent, Normal, OverQuota };

/// \brief A job with tasks that have not started.
struct QueuedJob
{
    std::size_t service = 0;
    std::size_t team = 0;
    std::size_t placement = 0;
    QueueRank rank = QueueRank::Normal;
    bool isUrgent = false;
    bool isLong = false;
    MonotonicTime submitted;
    /// Expected work of each task, by its index in the job.
    std::vector<Duration> taskWork;
    /// Run times declared by the caller, by task index; empty if it declared none.
    std::vector<std::optional<Duration>> declared;
    /// Indexes of the tasks to start; the last one starts first.
    std::vector<std::uint32_t> unstarted;
    /// Expected work of the tasks to start.
    Duration remaining{};
};

/// \brief The queued jobs of each placement, in the order in which they should start.
///
/// Within a rank, the job with the least expected remaining work is first; each second of waiting
/// lowers its sort key by \c agingRate seconds of work. Changes are O(log jobs).
///
/// Thread safety: one thread at a time.
class JobQueue
{
public:
    /// \brief \p agingRate is in seconds of work per second of waiting.
    explicit JobQueue(double agingRate) noexcept;

    /// Precondition: \p job is not queued and has tasks to start.
    void add(JobNumber job, QueuedJob entry);

    /// \brief Returns the job, or nullptr if it has no tasks to start.
    [[nodiscard]] const QueuedJob *find(JobNumber job) const;

    /// \brief Returns the first job of \p placement, among the long jobs or among the others.
    [[nodiscard]] std::optional<JobNumber> first(std::size_t placement, bool isLong) const;

    /// \brief Returns true if \p left is ordered before \p right. Precondition: both are queued.
    [[nodiscard]] bool precedes(JobNumber left, JobNumber right) const;

    /// \brief Removes and returns the next task of \p job; the last task removes the job.
    [[nodiscard]] std::uint32_t popTask(JobNumber job);

    /// \brief Queues a task again that popTask() removed.
    ///
    /// \p attributes describes the job; used only if none of its other tasks is queued.
    void requeue(const TaskRef &task, Duration work, const QueuedJob &attributes);

    /// \brief Removes the tasks of \p job and returns their number. Amortised O(1).
    std::size_t remove(JobNumber job);

    /// \brief Moves the jobs of \p team to the rank OverQuota, or back to Urgent or Normal.
    void setOverQuota(std::size_t team, bool isOver);

    /// \brief Removes and returns all jobs, to be queued again under new placements.
    [[nodiscard]] std::unordered_map<JobNumber, QueuedJob> extractAll();

    [[nodiscard]] std::size_t tasks() const noexcept { return m_tasks; }
    [[nodiscard]] std::size_t jobs() const noexcept { return m_jobs.size(); }
    [[nodiscard]] std::size_t longTasks() const noexcept { return m_longTasks; }

    /// \brief Expected work of all queued tasks.
    [[nodiscard]] Duration work() const noexcept { return m_work; }
    [[nodiscard]] Duration workOf(QueueRank rank) const noexcept;
    [[nodiscard]] Duration teamWork(std::size_t team) const;

    /// \brief Returns the expected work that precedes a job of \p rank with \p remaining work.
    ///
    /// Counts all jobs of higher ranks, and those of \p rank up to the job's size class.
    [[nodiscard]] Duration workBefore(QueueRank rank, Duration remaining) const;

private:
    struct Position
    {
        QueueRank rank;
        double key;
        JobNumber job;

        [[nodiscard]] bool operator<(const Position &other) const noexcept;
    };
    using Order = std::set<Position>;
    struct Entry
    {
        QueuedJob job;
        Order::iterator position;
    };

    static constexpr std::size_t Ranks = 3;
    static constexpr std::size_t SizeClasses = 24;

    [[nodiscard]] Order &orderOf(const QueuedJob &job);
    [[nodiscard]] const Order *findOrder(std::size_t placement, bool isLong) const;
    [[nodiscard]] Position positionOf(JobNumber number, const QueuedJob &job) const;
    [[nodiscard]] static std::size_t sizeClassOf(Duration remaining);
    /// Adds the work and tasks of \p job to the totals, or subtracts them with \p sign -1.
    void updateTotals(const QueuedJob &job, int sign);
    void insertIntoOrder(JobNumber number, Entry &entry);

    double m_agingRate;
    std::unordered_map<JobNumber, Entry> m_jobs;
    std::vector<Order> m_orders;
    std::vector<std::unordered_set<JobNumber>> m_teamJobs;
    std::vector<Duration> m_teamWork;
    std::size_t m_tasks = 0;
    std::size_t m_longTasks = 0;
    Duration m_work{};
    Duration m_workByClass[Ranks][SizeClasses]{};
};

} // namespace anvilmill
