#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/membershipoptions.h"
#include "anvilmill/membership/viewplan.h"
#include "anvilmill/platform/keyvaluestore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A call to the platform for the owner of a Membership to make.
struct PlatformCall
{
    enum class Kind { Renew, Query, Read, Grant, Write };

    Kind kind = Kind::Read;
    /// Renew and Query.
    std::vector<LeaseId> leases;
    /// Read.
    std::string key;
    /// Grant.
    std::string holder;
    Duration leaseLength{0};
    /// Write.
    StorePut put;
};

/// \brief The answer to a PlatformCall; `store` for Read and Write, `lease` for the others.
struct PlatformAnswer
{
    StoreReply store;
    LeaseReply lease;
};

/// \brief Makes \p call and returns its answer. Blocks for at most \p timeout per call.
[[nodiscard]] PlatformAnswer perform(const PlatformCall &call, KeyValueStore &store,
                                     Duration timeout);

/// \brief The results of one round of calls.
struct RoundFindings
{
    /// Start of the round; all results were obtained after it.
    MonotonicTime began;
    /// For each live host, the sequence of the last heartbeat received before the round.
    std::map<HostIncarnation, std::int64_t> sequences;
    std::set<LeaseId> held;
    std::set<LeaseId> lapsed;
    std::optional<StoreEntry> entry;
};

/// \brief The leases that were found lapsed, with the time at which each was first found lapsed.
///
/// Thread safety: one thread at a time.
class LapsedLeases
{
public:
    void update(const RoundFindings &findings, MonotonicTime now);

    /// \brief True if \p lease was found lapsed at least \p age ago, and never held since.
    [[nodiscard]] bool isLapsedFor(LeaseId lease, Duration age, MonotonicTime now) const;

    /// \brief Removes the records of all leases except \p known.
    void keepOnly(const std::set<LeaseId> &known);

private:
    std::map<LeaseId, MonotonicTime> m_since;
};

} // namespace anvilmill
