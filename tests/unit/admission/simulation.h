#pragma once

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <functional>
#include <map>
#include <utility>

namespace anvilmill::testing {

/// \brief Runs events in the order of simulated time; deterministic for a given seed.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] const Clock &clock() const { return m_clock; }
    [[nodiscard]] MonotonicTime now() const { return m_clock.now(); }

    [[nodiscard]] bool chance(double probability) { return m_random.nextUnit() < probability; }
    [[nodiscard]] std::size_t below(std::size_t bound) { return m_random.nextBelow(bound); }
    [[nodiscard]] Duration upTo(Duration longest)
    {
        return Duration(static_cast<Duration::rep>(m_random.nextUnit()
                                                   * static_cast<double>(longest.count())));
    }

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(std::make_pair(now() + delay, m_nextEvent++), std::move(event));
    }

    void runFor(Duration length)
    {
        const MonotonicTime end = now() + length;
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto next = m_events.extract(m_events.begin());
            m_clock.advance(next.key().first - now());
            next.mapped()();
        }
        m_clock.advance(end - now());
    }

private:
    ManualClock m_clock;
    SeededRandom m_random;
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_nextEvent = 0;
};

} // namespace anvilmill::testing
