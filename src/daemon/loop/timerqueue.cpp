#include "timerqueue.h"

#include <boost/asio/post.hpp>

namespace anvilmill::daemon {

TimerQueue::TimerQueue(boost::asio::io_context &loop, const Clock &clock)
    : m_loop(loop)
    , m_clock(clock)
    , m_timer(loop)
{
}

TimerQueue::Id TimerQueue::after(Duration delay, std::function<void()> task)
{
    return at(m_clock.now() + delay, std::move(task));
}

TimerQueue::Id TimerQueue::at(MonotonicTime time, std::function<void()> task)
{
    const Id id{time, ++m_last};
    m_tasks.emplace(id, std::move(task));
    arm();
    return id;
}

void TimerQueue::post(std::function<void()> task)
{
    boost::asio::post(m_loop, std::move(task));
}

void TimerQueue::cancel(const Id &timer)
{
    m_tasks.erase(timer);
}

void TimerQueue::clear()
{
    m_tasks.clear();
    m_timer.cancel();
}

void TimerQueue::arm()
{
    if (m_tasks.empty() || m_tasks.begin()->first.first >= m_armedTime)
        return;
    m_armedTime = m_tasks.begin()->first.first;
    m_timer.expires_at(m_armedTime);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error != boost::asio::error::operation_aborted)
            fire();
    });
}

void TimerQueue::fire()
{
    m_armedTime = MonotonicTime::max();
    const MonotonicTime now = m_clock.now();
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= now) {
        const std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
    arm();
}

} // namespace anvilmill::daemon
