#pragma once

#include "anvilmill/membership/view.h"
#include "anvilmill/platform/keyvaluestore.h"

#include "peer.h"

#include <set>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The key of a data centre's view in the platform's key-value service.
[[nodiscard]] std::string viewKey(const std::string &dataCentre);

/// \brief The incarnation of \p member of \p record.
[[nodiscard]] HostIncarnation asIncarnation(const wire::peer::ViewRecord &record,
                                            const wire::peer::Member &member);

[[nodiscard]] View asView(const wire::peer::ViewRecord &record);

/// \brief The entry of \p host in \p record; null if it is no member.
[[nodiscard]] const wire::peer::Member *findMember(const wire::peer::ViewRecord &record,
                                                   const HostIncarnation &host);

/// \brief A host that is to be a member.
struct Candidate
{
    HostIncarnation host;
    std::string address;
};

/// \brief The input for planning the next view.
struct ViewFacts
{
    std::string dataCentre;
    /// The newest known view, on which the next one is based.
    wire::peer::ViewRecord base;
    /// Highest epoch of any view seen so far.
    std::uint64_t highestEpoch = 0;
    /// True if the store holds an epoch lower than `highestEpoch`.
    bool isStoreOlder = false;
    /// Live hosts that are to be members, including this host, without those that are leaving.
    std::vector<Candidate> candidates;
    /// Members that have reported that they are leaving, or whose authority is known to have
    /// expired.
    std::set<HostIncarnation> removable;
    /// Leases that are known to have lapsed.
    std::set<LeaseId> lapsedLeases;
};

/// \brief The next view, and the leases to grant before it can be written.
struct ViewPlan
{
    wire::peer::ViewRecord next;
    /// Members of `next` that need a lease before it can be written, by index.
    std::vector<std::size_t> withoutLease;
    /// True if hosts join or are removed: a later epoch.
    bool isEpochChange = false;

    [[nodiscard]] bool isChange() const noexcept { return isEpochChange || !withoutLease.empty(); }
};

/// \brief Plans the next view from \p facts.
[[nodiscard]] ViewPlan planView(const ViewFacts &facts);

} // namespace anvilmill
