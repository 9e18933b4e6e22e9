#pragma once

#include "anvilmill/executor/heldexecutor.h"

#include <functional>
#include <optional>
#include <string>

namespace anvilmill {

/// \brief Answer to an order to start; nothing if the order may or may not take effect.
using StartReply = std::optional<StartAnswer>;

/// \brief Answer to a hold.
struct HoldReply
{
    enum class Kind {
        Answered,
        /// Another holder has a higher fence.
        Fenced,
        /// No answer, or one of another executor at the same address.
        Unanswered,
    };

    Kind kind = Kind::Unanswered;
    HoldReport report;
    /// Why there is no report.
    std::string reason;
};

/// \brief Sends orders to executors, from an event loop.
///
/// Each handler is called once, from the loop's thread, never from within the call.
///
/// Thread safety: used by the loop's thread alone.
class ExecutorCalls
{
public:
    virtual ~ExecutorCalls() = default;

    /// \brief Starts a run. \p spec is passed to the task.
    virtual void start(const ExecutorRegistration &executor, const StartOrder &order,
                       const std::string &spec, std::function<void(StartReply)> handler) = 0;

    /// \brief Stops a run; the handler gets true if the executor has answered.
    virtual void stop(const ExecutorRegistration &executor, const StopOrder &order,
                      std::function<void(bool)> handler) = 0;

    /// \brief Renews the lease and asks what runs and what has ended.
    virtual void hold(const ExecutorRegistration &executor, const HoldOrder &order,
                      std::function<void(const HoldReply &)> handler) = 0;

    /// \brief Closes the connections to an executor that this host no longer calls.
    virtual void forget(const std::string &executor) = 0;
};

} // namespace anvilmill
