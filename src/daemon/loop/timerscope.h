#pragma once

#include "loop/timerqueue.h"

#include <functional>
#include <memory>
#include <utility>

namespace anvilmill::daemon {

/// \brief The timers and callbacks of one object: none is called once the scope has ended.
///
/// Make it the last member, so that it ends first.
///
/// Thread safety: used by the loop's thread alone.
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

    /// \brief Wraps a callback that others may call after the scope has ended.
    template <typename Function>
    [[nodiscard]] auto guard(Function function) const
    {
        return [token = std::weak_ptr<bool>(m_token),
                function = std::move(function)](const auto &...arguments) {
            if (!token.expired())
                function(arguments...);
        };
    }

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

    /// \brief As TimerQueue::soon().
    void soon(std::function<void()> task) { m_timers.soon(guard(std::move(task))); }

    void cancel(const TimerQueue::Id &timer) { m_timers.cancel(timer); }

private:
    TimerQueue &m_timers;
    std::shared_ptr<bool> m_token;
};

} // namespace anvilmill::daemon
