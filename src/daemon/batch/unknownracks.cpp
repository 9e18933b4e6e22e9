#include "unknownracks.h"

#include "log.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

void UnknownRacks::named(const std::string &rack)
{
    const MonotonicTime now = m_clock.now();
    ++m_jobs;
    if (m_logged && now - *m_logged < LogInterval)
        return;
    m_logged = now;
    LogEvent("job.rackUnknown", LogEvent::Level::Warning)
            .with("rack", rack)
            .with("jobs", std::exchange(m_jobs, 0));
}

} // namespace anvilmill::daemon
