#pragma once

#include "httpserver.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Task and number of the run.
using Run = std::pair<std::string, std::int64_t>;

/// \brief What an order is about, before it is carried out.
struct Order
{
    std::string executor;
    std::string path;
    std::string task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
};

/// \brief What happens to an order that has arrived.
struct Fate
{
    /// The order doesn't arrive.
    bool isLost = false;
    /// The order is carried out and gets no answer.
    bool isUnanswered = false;
    /// The order is carried out so much later, and gets no answer.
    std::int64_t lateMs = 0;
};

/// \brief All runs of all executors, to judge what runs twice. Thread-safe.
class Runs
{
public:
    explicit Runs(Record &record);

    void begun(const std::string &executor, const Run &run);
    void over(const std::string &executor, const Run &run, const std::string &how);

    /// The executors on which a run of the task is at work.
    std::vector<std::string> executorsOf(const std::string &task) const;

    /// True if a run of one of the job's tasks has ever begun.
    bool hasBegun(const std::string &job) const;

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, std::set<std::pair<std::string, std::int64_t>>> m_running;
    std::set<std::string> m_begunJobs;
};

/// \brief An executor that starts whatever it is told to. Thread-safe.
///
/// A task's `spec` holds its work in milliseconds, and its processors and memory.
class Executor
{
public:
    struct Settings
    {
        std::string id;
        std::string zone;
        std::string address;
        std::uint16_t port = 0;
        std::int64_t cpu = 32000;
        std::string rack = "r1";
    };

    Executor(Settings settings, Store &store, Record &record, Runs &runs);

    /// Decides what happens to each order; to be set before start().
    void onOrder(std::function<Fate(const Order &)> handler)
    {
        m_orderHandler = std::move(handler);
    }

    /// Begins a lifetime: writes its entry, then answers.
    void start();

    /// Ends the lifetime with all that runs. What it wrote into the store stays.
    void crash();

    /// From now on no call gets through to it, nor an answer from it; what has arrived is carried out.
    void cutOff(std::int64_t milliseconds);

    /// To be called every 1.5 s.
    void writeEntry();

    /// To be called every few milliseconds.
    void tick();

    const std::string &id() const { return m_settings.id; }

private:
    struct Work
    {
        std::int64_t cpu = 0;
        std::int64_t end = 0;
    };

    struct End
    {
        std::int64_t number = 0;
        Run run;
        std::string how;
    };

    Answer handle(const Request &request);
    Answer execute(const Request &request, std::int64_t lateMs);
    Answer startRun(const Request &request, std::int64_t lateMs);
    Answer stopRun(const Request &request);
    Answer hold(const Request &request, std::int64_t lateMs);
    bool isFenced(std::int64_t fence);
    void extendLease(std::optional<std::int64_t> until);
    void endRun(const Run &run, const std::string &how);
    std::int64_t clock() const;
    std::string refusal(const char *reason) const;

    Settings m_settings;
    Store &m_store;
    Record &m_record;
    Runs &m_allRuns;
    std::function<Fate(const Order &)> m_orderHandler;
    HttpServer m_server;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    std::int64_t m_lifetime = 0;
    std::int64_t m_born = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_seq = 0;
    std::atomic<std::int64_t> m_cutOffUntil{0};
    std::int64_t m_fence = 0;
    std::int64_t m_lease = 0;
    std::int64_t m_lastEnd = 0;
    std::map<Run, Work> m_runs;
    std::vector<End> m_ends;
    std::map<std::string, std::int64_t> m_highestOver;
};

} // namespace review
