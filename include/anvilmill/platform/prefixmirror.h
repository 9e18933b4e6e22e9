#pragma once

#include "anvilmill/platform/asyncstore.h"

#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A copy of the store's items below one prefix, kept by reads and watches.
///
/// Answers that are older than what is held change nothing, so that a slow or stale answer never
/// takes a key back in time. A key that was written again counts as changed though its value is
/// the same: it may have been missing in between.
///
/// Thread safety: one thread at a time.
class PrefixMirror
{
public:
    /// \brief Takes a read of the whole prefix; returns what changed, removals included.
    std::vector<StoreItem> takeAll(const StoreItems &read);

    /// \brief Takes the answer to a watch; returns what changed.
    std::vector<StoreItem> takeChanges(const StoreItems &changes);

    /// \brief The revision up to which all changes are held; NoVersion before the first read.
    [[nodiscard]] StoreVersion revision() const noexcept { return m_revision; }
    [[nodiscard]] const std::map<std::string, StoreItem> &items() const noexcept { return m_items; }

private:
    bool take(const StoreItem &item);

    std::map<std::string, StoreItem> m_items;
    StoreVersion m_revision = NoVersion;
};

} // namespace anvilmill
