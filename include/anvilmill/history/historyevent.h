#pragma once

#include <history.h>

#include <string>

namespace anvilmill {

/// \brief One event observed by a caller, an executor or an operator; see schema/history.json.
using HistoryEvent = wire::history::HistoryEvent;
using HistoryEventKind = wire::history::Event;

/// \brief Records the events of a test run as they happen.
///
/// A request is recorded before it is sent, a start before the task runs, and an answer after it
/// was received completely, so that the recorded order never contradicts the real one.
///
/// Implementations are safe to call from any thread, set the event time and never throw.
class HistorySink
{
public:
    virtual ~HistorySink() = default;

    /// \brief Records \p event with the current time.
    virtual void record(HistoryEvent event) noexcept = 0;
};

/// \brief Returns \p event as one line of JSON, without a line terminator.
[[nodiscard]] std::string asLine(const HistoryEvent &event);

} // namespace anvilmill
