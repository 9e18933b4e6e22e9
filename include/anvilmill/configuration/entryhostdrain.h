#pragma once

#include "anvilmill/clock.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace anvilmill {

struct EntryHostDrainOptions
{
    /// Time until the platform's load balancer has detected the failed readiness check and
    /// stopped routing new connections to the host.
    Duration readinessDelay = std::chrono::seconds(3);
    /// Time without a request after which an open connection may be closed. Longer than the
    /// network delay of a request, so that no request arrives on a closed connection.
    Duration idleTimeout = std::chrono::seconds(2);
};

/// \brief Graceful shutdown of an entry host: requests in flight complete within the grace period.
///
/// Serving -> NotReady: the readiness check fails; requests and connections are still accepted.
/// NotReady -> Closing: each response closes its connection, new connections are refused, and idle
/// connections are closed. Closing -> Done: no request is in flight and no connection is open, or
/// the grace period has ended.
///
/// \code
/// drain.begin(stop.grace);
/// // readiness check:  return drain.isReady() ? 200 : 503;
/// // each response:    if (drain.closesAfterResponse()) response.setKeepAlive(false);
/// // event loop:       drain.update(requestsInFlight, openConnections);
/// \endcode
///
/// Thread safety: one thread at a time.
class EntryHostDrain
{
public:
    enum class Phase { Serving, NotReady, Closing, Done };

    /// \p clock must outlive this object.
    EntryHostDrain(const Clock &clock, const EntryHostDrainOptions &options) noexcept;

    /// \brief Starts the drain with a deadline \p grace from now. Further calls can only shorten
    /// the deadline.
    void begin(Duration grace);

    /// \brief Returns to Serving when the planned stop is cancelled. No effect in phase Done.
    void cancel() noexcept;

    /// \brief Advances the phase from the clock and the remaining requests and connections.
    void update(std::size_t requestsInFlight, std::size_t openConnections);

    [[nodiscard]] Phase phase() const noexcept { return m_phase; }

    [[nodiscard]] bool isReady() const noexcept { return m_phase == Phase::Serving; }
    [[nodiscard]] bool acceptsConnections() const noexcept;

    /// \brief True if a response must close its connection. Requests on open connections are
    /// served until the phase is Done.
    [[nodiscard]] bool closesAfterResponse() const noexcept { return m_phase == Phase::Closing; }

    /// \brief True if a connection whose last request ended at \p idleSince may be closed now.
    [[nodiscard]] bool mayCloseIdle(MonotonicTime idleSince) const;

    /// \brief Requests still in flight when the grace period ended; 0 if all completed.
    [[nodiscard]] std::size_t requestsAborted() const noexcept { return m_requestsAborted; }

private:
    const Clock &m_clock;
    EntryHostDrainOptions m_options;
    Phase m_phase = Phase::Serving;
    MonotonicTime m_closingAt;
    MonotonicTime m_endsAt;
    std::size_t m_requestsAborted = 0;
};

/// \brief The spelling used in logs: `serving`, `notReady`, `closing`, `done`.
[[nodiscard]] std::string_view asString(EntryHostDrain::Phase phase) noexcept;

} // namespace anvilmill
