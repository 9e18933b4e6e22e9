#pragma once

#include "record.h"
#include "standinstore.h"

#include "anvilmill/executor/resources.h"
#include "anvilmill/randomsource.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace anvilmill::review {

/// \brief Simulates executors that behave as PROTOCOL.md says, and checks what they are told to run.
///
/// All executors share one address; the header X-Expected-Instance tells them apart. A task's spec is its run
/// time in milliseconds and its demand in thousandths of a core.
///
/// Thread safety: only to be used on the event loop's thread.
class Executors
{
public:
    using Exchange = std::shared_ptr<daemon::HttpExchange>;

    /// Precondition: the references outlive the object.
    Executors(daemon::TimerQueue &timers, Record &record, fleet::StandinStore &store,
              std::string address, std::uint64_t seed);
    ~Executors();

    void add(const std::string &id, const std::string &dataCentre, std::int64_t milliCores);

    /// \brief Handles one order to an executor.
    void handle(const Exchange &exchange);

    /// \brief Leaves a share of the orders unanswered and carries them out 2 to 12 s later.
    void setLateShare(double share) noexcept { m_lateShare = share; }

    /// \brief The executors' number of runs at present.
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t starts() const noexcept { return m_starts; }
    /// Starts of a task that ran already, and starts beyond an executor's capacity.
    [[nodiscard]] std::size_t doubled() const noexcept { return m_doubled; }
    [[nodiscard]] std::size_t overfilled() const noexcept { return m_overfilled; }

private:
    using Run = std::pair<std::string, std::uint64_t>;
    struct Executor;
    struct Order;

    void writeEntry(Executor &executor);
    void carryOut(const Order &order);
    void start(const Order &order);
    void stop(const Order &order);
    void hold(const Order &order);
    void answerHold(const Order &order);
    void extendLease(Executor &executor, const nlohmann::json &call);
    void end(const std::shared_ptr<Executor> &executor, const Run &run, const std::string &how);
    void refuse(const Order &order, const std::string &reason);
    [[nodiscard]] std::int64_t clockOf(const Executor &executor) const;
    void check(const Executor &executor, const Run &run);

    daemon::TimerQueue &m_timers;
    Record &m_record;
    fleet::StandinStore &m_store;
    std::string m_address;
    SeededRandom m_random;
    double m_lateShare = 0.0;
    std::map<std::string, std::shared_ptr<Executor>> m_executors;
    std::size_t m_starts = 0;
    std::size_t m_doubled = 0;
    std::size_t m_overfilled = 0;
};

} // namespace anvilmill::review
