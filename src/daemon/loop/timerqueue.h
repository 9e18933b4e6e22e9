#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace anvilmill::daemon {

/// \brief Timers of one event loop.
///
/// All timers share one timer of the operating system, which is re-armed only for an earlier
/// expiry: a call that completes before its deadline costs no system call for the deadline.
///
/// Thread safety: only to be used on the event loop's thread.
class TimerQueue
{
public:
    using Id = std::pair<MonotonicTime, std::uint64_t>;

    /// Precondition: the references outlive the queue.
    TimerQueue(boost::asio::io_context &loop, const Clock &clock);

    /// \brief The time by which the timers expire.
    [[nodiscard]] MonotonicTime now() const { return m_clock.now(); }

    [[nodiscard]] Duration sinceBoot() const { return m_clock.sinceBoot(); }
    [[nodiscard]] const Clock &clock() const noexcept { return m_clock; }

    /// \brief Calls \p task once \p delay has passed, unless cancelled.
    Id after(Duration delay, std::function<void()> task);

    /// \brief Calls \p task at \p time, or as soon as possible afterwards.
    Id at(MonotonicTime time, std::function<void()> task);

    /// \brief Posts \p task to the event loop, to be called after the current handler has returned.
    void post(std::function<void()> task);

    /// \brief Cancels a timer. No effect if it has fired.
    void cancel(const Id &timer);

    /// \brief Calls the tasks that are due. The event loop does so by itself unless the clock is a
    /// simulated one.
    void fireDue() { fire(); }

    /// \brief Cancels all timers, so that the event loop can run out of work.
    void clear();

private:
    void arm();
    void fire();

    boost::asio::io_context &m_loop;
    const Clock &m_clock;
    boost::asio::steady_timer m_timer;
    std::map<Id, std::function<void()>> m_tasks;
    std::uint64_t m_last = 0;
    MonotonicTime m_armedTime = MonotonicTime::max();
};

} // namespace anvilmill::daemon
