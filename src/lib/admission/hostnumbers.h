#pragma once

#include "anvilmill/membership/view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <shared_mutex>

namespace anvilmill {

using HostNumber = std::uint32_t;
constexpr HostNumber NoHost = static_cast<HostNumber>(-1);

/// \brief Assigns small integers to host incarnations, which keeps records compact.
///
/// Thread safety: all methods may be called from any thread.
class HostNumbers
{
public:
    [[nodiscard]] HostNumber numberOf(const HostIncarnation &host);

    /// \brief Precondition: \p number came from numberOf() of this object.
    [[nodiscard]] const HostIncarnation &host(HostNumber number) const;

private:
    mutable std::shared_mutex m_lock;
    std::map<HostIncarnation, HostNumber> m_numbers;
    // References to elements stay valid when others are added.
    std::deque<HostIncarnation> m_hosts;
};

} // namespace anvilmill
