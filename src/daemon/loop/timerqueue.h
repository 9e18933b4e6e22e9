#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace anvilmill::daemon {

/// \brief Calls functions of one event loop at set times.
///
/// All timers share one timer of the operating system, which is armed again only for an earlier
/// time: a call that is answered before its deadline costs no system call for the deadline.
///
/// Thread safety: used by the loop's thread alone.
class TimerQueue
{
public:
    using Id = std::pair<MonotonicTime, std::uint64_t>;

    /// Precondition: the references outlive the queue.
    TimerQueue(boost::asio::io_context &loop, const Clock &clock);

    /// \brief Calls \p task once \p delay has passed, unless cancelled.
    Id after(Duration delay, std::function<void()> task);

    /// \brief Calls \p task at \p time or as soon after as the loop allows.
    Id at(MonotonicTime time, std::function<void()> task);

    /// \brief Calls \p task after the present handler, without a timer.
    void soon(std::function<void()> task);

    /// \brief Drops a timer; nothing if it has fired.
    void cancel(const Id &timer);

    /// \brief Drops all timers, so that the loop can end.
    void clear();

private:
    void arm();
    void fire();

    boost::asio::io_context &m_loop;
    const Clock &m_clock;
    boost::asio::steady_timer m_timer;
    std::map<Id, std::function<void()>> m_tasks;
    std::uint64_t m_last = 0;
    MonotonicTime m_armedFor = MonotonicTime::max();
};

} // namespace anvilmill::daemon
