#pragma once

#include "anvilmill/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Ids ordered by the time at which they expire.
///
/// Thread safety: all methods may be called from any thread.
class ExpiryQueue
{
public:
    void push(MonotonicTime due, std::string id);

    /// \brief Removes \p id, if it is queued with this \p due.
    void remove(MonotonicTime due, const std::string &id);

    [[nodiscard]] std::size_t size() const;

    /// \brief The earliest time at which an id expires, if one is queued.
    [[nodiscard]] std::optional<MonotonicTime> nextDue() const;

    /// \brief Removes and returns the ids that are due at or before \p now.
    [[nodiscard]] std::vector<std::string> takeDue(MonotonicTime now);

private:
    mutable std::mutex m_lock;
    std::multimap<MonotonicTime, std::string> m_entries;
};

} // namespace anvilmill::daemon
