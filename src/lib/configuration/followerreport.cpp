#include "anvilmill/configuration/follower.h"

#include <algorithm>

namespace anvilmill {

using wire::configuration::InForceReport;

std::optional<InForceReport> Follower::reportDue() const
{
    const MonotonicTime now = m_clock.now();
    if (!isReporter() || now < m_reportedAt + m_options.reportInterval)
        return std::nullopt;
    InForceReport report = currentReport();
    const bool isPropagating = now < m_adoptedAt + 2 * m_options.repairDelay;
    if (isPropagating && !report.lagging.empty())
        return std::nullopt;
    if (m_lastReport && nlohmann::json(*m_lastReport) == nlohmann::json(report))
        return std::nullopt;
    return report;
}

InForceReport Follower::currentReport() const
{
    InForceReport report;
    report.dataCentre = m_self.dataCentre;
    report.reporter = m_self.host;
    report.highestRevision = static_cast<std::int64_t>(m_held.id.revision);
    report.revision = report.highestRevision;
    report.storeRevision = static_cast<std::int64_t>(m_storeRevision);
    report.hosts.push_back(m_self.host);
    if (!m_problem.empty())
        report.problem = m_problem;
    for (const auto &[peer, state] : m_peers) {
        if (isLocal(peer))
            addToReport(report, peer.host, state);
    }
    return report;
}

void Follower::addToReport(InForceReport &report, const std::string &host,
                           const PeerState &state) const
{
    if (state.highestReported == m_held.id) {
        report.hosts.push_back(host);
        return;
    }
    const auto reported = static_cast<std::int64_t>(state.highestReported.revision);
    report.revision = std::min(report.revision, reported);
    report.lagging.push_back({host,
                              state.hasReported
                                      ? "it holds another revision"
                                      : "no message received from it since the reporter started",
                              reported});
}

void Follower::reportWritten(const InForceReport &report)
{
    m_lastReport = report;
    m_reportedAt = m_clock.now();
}

} // namespace anvilmill
