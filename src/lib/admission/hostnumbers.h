#pragma once

#include "anvilmill/membership/view.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <shared_mutex>

namespace anvilmill {

using HostNumber = std::uint32_t;
constexpr HostNumber NoHost = static_cast<HostNumber>(-1);

/// \brief Assigns small integers to host incarnations, which keeps records compact.
///
/// Numbers are kept while the process runs. Peers can make up hosts, so the number of hosts that were in no
/// view is limited, and the length of their names.
///
/// Thread safety: all methods may be called from any thread.
class HostNumbers
{
public:
    /// \p maxUnlisted: hosts that were in no view when they got their numbers.
    explicit HostNumbers(std::size_t maxUnlisted = DefaultMaxUnlisted);

    /// \brief Returns the number of \p host, std::nullopt if it has none and the limit is reached.
    [[nodiscard]] std::optional<HostNumber> numberOf(const HostIncarnation &host);

    /// \brief Returns the number of a host of a view.
    HostNumber addMember(const HostIncarnation &host);

    /// \brief Precondition: \p number came from this object.
    [[nodiscard]] const HostIncarnation &host(HostNumber number) const;

private:
    static constexpr std::size_t DefaultMaxUnlisted = 10000;

    [[nodiscard]] std::optional<HostNumber> find(const HostIncarnation &host) const;
    HostNumber addLocked(const HostIncarnation &host);

    std::size_t m_maxUnlisted;
    std::size_t m_unlisted = 0;
    mutable std::shared_mutex m_lock;
    std::map<HostIncarnation, HostNumber> m_numbers;
    // References to elements stay valid when others are added.
    std::deque<HostIncarnation> m_hosts;
};

} // namespace anvilmill
