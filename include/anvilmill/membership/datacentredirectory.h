#pragma once

#include "anvilmill/clock.h"

#include "peer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief One summary for each data centre: its entry hosts and their addresses.
///
/// The delegate of a data centre writes its summary; all hosts keep the summaries of all data
/// centres and forward the latest ones. A summary is only a hint for routing: it does not show
/// which hosts may act as owners.
///
/// Thread safety: one thread at a time.
class DataCentreDirectory
{
public:
    /// \brief Stores \p summary if it is later than the stored one. Returns true if it was.
    bool merge(const wire::peer::DataCentreSummary &summary);

    /// \brief Replaces the summary of \p dataCentre if its epoch or hosts differ from the stored
    /// ones.
    ///
    /// The revision is derived from \p now but always increases, even if the writers' clocks
    /// differ.
    void update(const std::string &dataCentre, std::uint64_t epoch,
                std::vector<wire::peer::HostSummary> hosts, WallTime now);

    /// \brief The summary of \p dataCentre; null if there is none.
    [[nodiscard]] const wire::peer::DataCentreSummary *find(const std::string &dataCentre) const;

    /// \brief The revision of the summary of \p dataCentre; 0 if there is none.
    [[nodiscard]] std::int64_t revision(const std::string &dataCentre) const;

    /// \brief A hash that is equal on hosts that hold the same summaries.
    [[nodiscard]] std::int64_t digest() const;

    [[nodiscard]] std::vector<wire::peer::DataCentreSummary> all() const;

private:
    std::map<std::string, wire::peer::DataCentreSummary> m_summaries;
};

} // namespace anvilmill
