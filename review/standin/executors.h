#pragma once

#include "anvilmill/clock.h"
#include "loop/httpclient.h"
#include "loop/httpserver.h"
#include "loop/timerqueue.h"
#include "standin/standinstore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using anvilmill::Clock;
using anvilmill::Duration;
using anvilmill::MonotonicTime;

/// \brief Where and how one executor runs.
struct ExecutorSetup
{
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::string address;
    int milliCores = 32000;
    double speed = 1.0;
};

/// \brief One start of a task on one executor, as the executor saw it.
struct Run
{
    std::string task;
    std::int64_t number = 0;
    std::string executor;
    MonotonicTime began;
};

/// \brief Told about each start and end, in the order in which the executors carry them out.
class RunObserver
{
public:
    virtual ~RunObserver() = default;
    virtual void began(const Run &run) = 0;
    virtual void ended(const Run &run, const std::string &how) = 0;
};

/// \brief Stand-in of the executors: one HTTP server each, with leases, fences, numbered ends and
/// stops as the protocol page describes them. They don't check their capacity.
///
/// The spec of a job lists the work of its tasks in milliseconds, separated by spaces, and a task
/// takes its work divided by the executor's speed.
///
/// Thread safety: used by the loop's thread alone.
class Executors
{
public:
    /// Precondition: the references outlive the executors.
    Executors(boost::asio::io_context &loop, anvilmill::daemon::TimerQueue &timers,
              const Clock &clock, anvilmill::fleet::StandinStore &store, RunObserver &observer);
    ~Executors();

    void add(const ExecutorSetup &setup);

    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct Executor;
    struct Active;
    struct Waiting;
    using Exchange = std::shared_ptr<anvilmill::daemon::HttpExchange>;

    void handle(Executor &executor, const Exchange &exchange);
    void start(Executor &executor, const std::string &body, const Exchange &exchange);
    void stop(Executor &executor, const std::string &body, const Exchange &exchange);
    void hold(Executor &executor, const std::string &body, const Exchange &exchange);
    void answerHold(Executor &executor, const Exchange &exchange);
    void answerWaiting(Executor &executor);
    void refuse(Executor &executor, const Exchange &exchange, const char *reason);
    void extendLease(Executor &executor, std::int64_t until);
    void checkLease(Executor &executor);
    void end(Executor &executor, const std::string &task, std::uint64_t serial,
             const std::string &how);
    void writeEntry(Executor &executor);

    boost::asio::io_context &m_loop;
    anvilmill::daemon::TimerQueue &m_timers;
    const Clock &m_clock;
    anvilmill::fleet::StandinStore &m_store;
    RunObserver &m_observer;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::uint64_t m_lastSerial = 0;
    std::size_t m_starts = 0;
};

} // namespace review
