#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <cstdint>

namespace anvilmill {

/// \brief Orders the holders of one executor: it obeys the highest fence that it has seen.
using Fence = std::uint64_t;

/// \brief Gives out rising fences that no other host gives out.
///
/// The high part is the revision of the membership under which the host became the executor's
/// holder. A revision names one membership and a membership names one holder, so that two hosts
/// never share a fence. The low part counts fences raised by the same holder.
///
/// Thread safety: one thread at a time.
class FenceSequence
{
public:
    /// \brief Raises the fence for a host that became holder at \p membership.
    Fence acquire(StoreVersion membership) noexcept;

    /// \brief The next fence of the same holder: orders under the current one become void.
    Fence raise() noexcept;

    [[nodiscard]] Fence current() const noexcept { return m_current; }

private:
    /// 12 bits leave 41 for revisions in the 53 that a JSON number keeps exactly: 69 years at a
    /// thousand writes a second.
    static constexpr unsigned RaiseBits = 12;

    Fence m_current = 0;
};

} // namespace anvilmill
