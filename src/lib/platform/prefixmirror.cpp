#include "anvilmill/platform/prefixmirror.h"

#include <algorithm>
#include <set>

namespace anvilmill {

std::vector<StoreItem> PrefixMirror::applyRead(const StoreItems &read)
{
    std::vector<StoreItem> changed;
    if (read.revision < m_revision)
        return changed;
    std::set<std::string> present;
    for (const StoreItem &item : read.items) {
        present.insert(item.key);
        if (apply(item))
            changed.push_back(item);
    }
    for (auto item = m_items.begin(); item != m_items.end();) {
        if (present.count(item->first) > 0) {
            ++item;
            continue;
        }
        changed.push_back({item->first, "", read.revision, true});
        item = m_items.erase(item);
    }
    m_revision = read.revision;
    return changed;
}

std::vector<StoreItem> PrefixMirror::applyChanges(const StoreItems &changes)
{
    std::vector<StoreItem> changed;
    for (const StoreItem &item : changes.items) {
        if (item.revision > m_revision && apply(item))
            changed.push_back(item);
    }
    m_revision = std::max(m_revision, changes.revision);
    return changed;
}

bool PrefixMirror::apply(const StoreItem &item)
{
    if (item.isRemoved)
        return m_items.erase(item.key) > 0;
    StoreItem &current = m_items[item.key];
    if (current.revision >= item.revision)
        return false;
    current = item;
    return true;
}

} // namespace anvilmill
