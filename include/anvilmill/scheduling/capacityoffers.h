#pragma once

#include "anvilmill/executor/resources.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Shares out room that has become free among hosts whose jobs wait for room.
///
/// Told to all of them, it would be asked for by all, and all but one refused: under overload that
/// costs several starts for each that succeeds. So each executor's room goes to one host, in turn.
///
/// Thread safety: one thread at a time.
class CapacityOffers
{
public:
    using Rooms = std::map<std::string, Resources>;

    /// \brief Which host to tell of which executors' room; those without room are left out.
    [[nodiscard]] std::map<std::string, Rooms> distribute(const Rooms &rooms,
                                                          const std::vector<std::string> &waiting);

private:
    std::size_t m_next = 0;
};

} // namespace anvilmill
