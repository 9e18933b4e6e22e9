#include "anvilmill/scheduling/routetable.h"

#include <algorithm>

namespace anvilmill {

RouteTable::RouteTable(std::int64_t version, std::vector<Route> routes)
    : m_version(version)
    , m_routes(std::move(routes))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_byHost[m_routes[i].host].push_back(i);
    for (auto &[host, indexes] : m_byHost) {
        std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return m_routes[left].prefix.size() > m_routes[right].prefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host));
    if (found == m_byHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const Route &route = m_routes[index];
        if (path.compare(0, route.prefix.size(), route.prefix) == 0)
            return &route;
    }
    return nullptr;
}

} // namespace anvilmill
