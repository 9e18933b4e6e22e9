#pragma once

#include "anvilmill/scheduling/batchjob.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief Which requests a route matches, and how their jobs are run.
struct Route
{
    std::string host;
    std::string prefix;
    std::shared_ptr<const RoutePolicy> policy;
};

/// \brief The routes of one version of the configuration.
///
/// Thread safety: reads from any thread.
class RouteTable
{
public:
    RouteTable() = default;
    RouteTable(std::int64_t version, std::vector<Route> routes);

    /// \brief The route of \p host with the longest prefix of \p path; nullptr if there is none.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    [[nodiscard]] std::int64_t version() const noexcept { return m_version; }
    [[nodiscard]] std::size_t size() const noexcept { return m_routes.size(); }

private:
    std::int64_t m_version = 0;
    std::vector<Route> m_routes;
    /// Indexes of the routes of each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
};

} // namespace anvilmill
