#pragma once

#include "loop/timerqueue.h"

#include <functional>
#include <memory>
#include <utility>

namespace anvilmill::daemon {

/// \brief Timers and callbacks of one object, none of which is called after the scope is destroyed.
///
/// Should be the object's last member, so that it is destroyed first.
///
/// Thread safety: only to be used on the event loop's thread.
class TimerScope
{
public:
    /// Precondition: \p timers outlives the scope.
    explicit TimerScope(TimerQueue &timers)
        : m_timers(timers)
        , m_token(std::make_shared<bool>(true))
    {
    }
    TimerScope(const TimerScope &) = delete;
    TimerScope &operator=(const TimerScope &) = delete;

    /// \brief Wraps a callback so that it has no effect after the scope is destroyed.
    template <typename Function>
    [[nodiscard]] auto guard(Function function) const
    {
        return [token = std::weak_ptr<bool>(m_token),
                function = std::move(function)](const auto &...arguments) {
            if (!token.expired())
                function(arguments...);
        };
    }

    /// \brief As TimerQueue::now().
    [[nodiscard]] MonotonicTime now() const { return m_timers.now(); }

    /// \brief As TimerQueue::after().
    TimerQueue::Id after(Duration delay, std::function<void()> task)
    {
        return m_timers.after(delay, guard(std::move(task)));
    }

    /// \brief As TimerQueue::at().
    TimerQueue::Id at(MonotonicTime time, std::function<void()> task)
    {
        return m_timers.at(time, guard(std::move(task)));
    }

    /// \brief As TimerQueue::post().
    void post(std::function<void()> task) { m_timers.post(guard(std::move(task))); }

    void cancel(const TimerQueue::Id &timer) { m_timers.cancel(timer); }

private:
    TimerQueue &m_timers;
    std::shared_ptr<bool> m_token;
};

} // namespace anvilmill::daemon
