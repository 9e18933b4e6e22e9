#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace anvilmill {

/// \brief Expects how long a full rack takes to free capacity, from how long its capacity was held lately.
///
/// Load pattern: as PlaceWait. The rate at which a rack frees capacity while it is partly idle is below
/// that while it is full, which made waits look twice as long as they are. So the time for which
/// capacity is held is measured, which doesn't depend on the load.
///
/// Holds at most MaxRacks racks of about 100 bytes. Thread safety: one thread at a time.
class RackTurnover
{
public:
    /// Observations of this age count by a factor of e less.
    static constexpr Duration Memory = std::chrono::seconds(1);
    /// More than the 350 executors of the largest deployment; further racks have no expectation.
    static constexpr std::size_t MaxRacks = 512;

    /// Precondition: \p clock outlives the object.
    explicit RackTurnover(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// \brief Records that \p milliCores more are in use on \p rack; if negative, that they became free.
    void useChanged(const std::string &rack, std::int64_t milliCores);

    /// \brief Records that \p milliCores that were in use have left \p rack with their executor.
    void removed(const std::string &rack, std::int64_t milliCores);

    /// \brief Expected time until \p milliCores have become free on \p rack; std::nullopt if none have
    /// lately.
    [[nodiscard]] std::optional<Duration> expectedWait(const std::string &rack,
                                                       std::int64_t milliCores) const;

    [[nodiscard]] std::size_t racks() const noexcept { return m_racks.size(); }

private:
    struct Rack
    {
        MonotonicTime updated;
        std::int64_t used = 0;
        /// Sums that are discounted by age: thousandths of a core that became free, and those in use
        /// times seconds.
        double freed = 0.0;
        double held = 0.0;
    };

    [[nodiscard]] static Rack updated(Rack rack, MonotonicTime now);
    [[nodiscard]] Rack *rackFor(const std::string &name);
    void removeIdleRacks();

    const Clock &m_clock;
    std::unordered_map<std::string, Rack> m_racks;
};

} // namespace anvilmill
