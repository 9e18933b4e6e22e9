#pragma once

#include "anvilmill/platform/asyncstore.h"

#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A local copy of the store's items below one key prefix, updated from reads and watches.
///
/// Replies that are older than the copy are ignored, so that a slow or stale reply never restores
/// an earlier value of a key. A key that was written again is reported as changed even if its
/// value is the same, because it may have been absent in between.
///
/// Thread safety: one thread at a time.
class PrefixMirror
{
public:
    /// \brief Applies a read of the whole prefix; returns the changed items, including removals.
    std::vector<StoreItem> applyRead(const StoreItems &read);

    /// \brief Applies the reply to a watch; returns the changed items, including removals.
    std::vector<StoreItem> applyChanges(const StoreItems &changes);

    /// \brief The revision up to which the copy contains all changes; NoVersion before the first
    /// read.
    [[nodiscard]] StoreVersion revision() const noexcept { return m_revision; }
    [[nodiscard]] const std::map<std::string, StoreItem> &items() const noexcept { return m_items; }

private:
    /// Applies one item; returns whether it changed the copy.
    bool apply(const StoreItem &item);

    std::map<std::string, StoreItem> m_items;
    StoreVersion m_revision = NoVersion;
};

} // namespace anvilmill
