#pragma once

#include "anvilmill/executor/heldexecutor.h"

#include <functional>
#include <optional>
#include <string>

namespace anvilmill {

/// \brief Answer to a start order; std::nullopt if it is unknown whether the order takes effect.
using StartReply = std::optional<StartAnswer>;

/// \brief Answer to a hold, the call that renews the lease on an executor.
struct HoldReply
{
    enum class Kind {
        Answered,
        /// The executor has seen a higher fencing token of another lease holder.
        Fenced,
        /// No answer, or the answer came from a different executor at the same address.
        Unanswered,
    };

    Kind kind = Kind::Unanswered;
    HoldReport report;
    /// The reason why there is no report.
    std::string reason;
    /// Unanswered only: the executor's process closed the connection, which it does when it ends.
    bool isClosedByExecutor = false;
};

/// \brief Sends orders to executors from an event loop.
///
/// Each handler is called exactly once, on the loop's thread, and never before the call to which it
/// was passed has returned.
///
/// Thread safety: used on the loop's thread only.
class ExecutorCalls
{
public:
    virtual ~ExecutorCalls() = default;

    /// \brief Starts a run. \p spec is passed to the task.
    virtual void start(const ExecutorRegistration &executor, const StartOrder &order,
                       const std::string &spec, std::function<void(StartReply)> handler) = 0;

    /// \brief Stops a run; the handler receives true if the executor answered.
    virtual void stop(const ExecutorRegistration &executor, const StopOrder &order,
                      std::function<void(bool)> handler) = 0;

    /// \brief Renews the lease and requests the active runs and those that ended.
    virtual void hold(const ExecutorRegistration &executor, const HoldOrder &order,
                      std::function<void(const HoldReply &)> handler) = 0;

    /// \brief Closes the connections to an executor that this host no longer calls.
    virtual void disconnect(const std::string &executor) = 0;
};

} // namespace anvilmill
