#pragma once

#include "anvilmill/executor/executorcalls.h"
#include "loop/timerqueue.h"

namespace anvilmill::tests {

/// The executors as seen from one host, which can be partitioned from them: its orders are lost
/// then.
class PartitionedExecutors final : public ExecutorCalls
{
public:
    PartitionedExecutors(ExecutorCalls &executors, daemon::TimerQueue &timers)
        : m_executors(executors)
        , m_timers(timers)
    {
    }

    void partition() { m_isPartitioned = true; }

    void start(const ExecutorRegistration &executor, const StartOrder &order,
               const std::string &spec, std::function<void(StartReply)> handler) override
    {
        if (m_isPartitioned)
            m_timers.after(OrderTimeout, [handler = std::move(handler)] { handler(std::nullopt); });
        else
            m_executors.start(executor, order, spec, std::move(handler));
    }

    void stop(const ExecutorRegistration &executor, const StopOrder &order,
              std::function<void(bool)> handler) override
    {
        if (m_isPartitioned)
            m_timers.after(OrderTimeout, [handler = std::move(handler)] { handler(false); });
        else
            m_executors.stop(executor, order, std::move(handler));
    }

    void hold(const ExecutorRegistration &executor, const HoldOrder &order,
              std::function<void(const HoldReply &)> handler) override
    {
        if (m_isPartitioned)
            m_timers.after(order.wait + order.answerTimeout, [handler = std::move(handler)] {
                handler({HoldReply::Kind::Unanswered, {}, "partitioned"});
            });
        else
            m_executors.hold(executor, order, std::move(handler));
    }

    void disconnect(const std::string &executor) override { m_executors.disconnect(executor); }

private:
    static constexpr Duration OrderTimeout = std::chrono::milliseconds(250);

    ExecutorCalls &m_executors;
    daemon::TimerQueue &m_timers;
    bool m_isPartitioned = false;
};

} // namespace anvilmill::tests
