#include "anvilmill/dispatch/nameindex.h"

namespace anvilmill {

NameIndex::NameIndex(std::size_t maxNames) noexcept
    : m_maxNames(maxNames)
{
}

std::size_t NameIndex::indexOf(const std::string &name)
{
    const auto known = m_indexes.find(name);
    if (known != m_indexes.end())
        return known->second;
    if (m_indexes.size() >= m_maxNames) {
        m_names.resize(m_maxNames + 1);
        return m_maxNames;
    }
    m_names.push_back(name);
    return m_indexes.emplace(name, m_names.size() - 1).first->second;
}

std::optional<std::size_t> NameIndex::find(const std::string &name) const
{
    const auto entry = m_indexes.find(name);
    if (entry == m_indexes.end())
        return std::nullopt;
    return entry->second;
}

} // namespace anvilmill
