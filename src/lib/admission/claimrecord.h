#pragma once

#include "anvilmill/admission/submissionkey.h"
#include "anvilmill/clock.h"
#include "hostnumbers.h"

#include <cstddef>
#include <cstdint>

namespace anvilmill {

/// \brief Record of one submission on one host.
struct ClaimRecord
{
    /// When this host sent or received the claim.
    MonotonicTime since;
    /// When this host last decided on the key as its directory; not transferred.
    MonotonicTime decidedAt = MonotonicTime::min();
    /// Epoch of the view under which a directory host last decided on an opaque key; 0 for a
    /// ticket, which only its issuer decides on.
    std::int64_t decidedEpoch = 0;
    std::uint64_t digest = 0;
    /// The holder's request that was granted; its older requests are outdated.
    std::int64_t holderRequest = 0;
    HostNumber holder = NoHost;
    /// Issuer of a ticket; NoHost for an opaque key.
    HostNumber issuer = NoHost;
    std::uint32_t heldAttempt = 0;
    std::uint32_t closedUpTo = 0;
    /// True if this host's data centre is the key's home.
    bool isHomedHere = false;
    /// True if this host was granted the claim and has not released it.
    bool isRunningHere = false;
    /// Number of tasks that this host has started since it was granted the claim.
    std::uint32_t starts = 0;

    [[nodiscard]] bool isHeld() const noexcept { return heldAttempt > closedUpTo; }

    /// \brief Merges the data of \p other on later views and attempts into this record.
    ///
    /// A decision under a later view is based on all decisions that took effect under earlier
    /// views. If it contradicts a claim, the copy of that claim was never confirmed, so no host has
    /// acted on the claim.
    void merge(const ClaimRecord &other) noexcept;
};

struct FingerprintHash
{
    [[nodiscard]] std::size_t operator()(const KeyFingerprint &key) const noexcept
    {
        return static_cast<std::size_t>(key.low);
    }
};

} // namespace anvilmill
