#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <algorithm>
#include <cstdint>

namespace anvilmill {

/// \brief Fencing token that orders the lease holders of one executor. The executor obeys the
/// highest one that it has seen.
using Fence = std::uint64_t;

/// \brief Generates increasing fences that no other host generates.
///
/// The high part is the revision of the membership under which the host became the executor's
/// holder. A revision identifies one membership and a membership determines one holder, so two
/// hosts never use the same fence. The low part counts the times that the same holder raised its
/// fence.
///
/// Thread safety: one thread at a time.
class FenceSequence
{
public:
    /// \brief Raises the fence for a host that became the holder at revision \p membership.
    Fence acquire(StoreVersion membership) noexcept;

    /// \brief Raises the fence of the same holder, which invalidates orders under the current one.
    Fence raise() noexcept;

    /// \brief Makes later fences higher than \p last.
    void continueAfter(Fence last) noexcept { m_current = std::max(m_current, last); }

    [[nodiscard]] Fence current() const noexcept { return m_current; }

private:
    /// 12 bits leave 41 bits for revisions out of the 53 that a JSON number represents exactly:
    /// enough for 69 years at a thousand writes per second.
    static constexpr unsigned RaiseBits = 12;

    Fence m_current = 0;
};

} // namespace anvilmill
