// What an entry host reports to operators.

#include "entryhost.h"

#include "log.h"

#include <array>

namespace anvilmill::daemon {

namespace {

struct PeerCounter
{
    const char *name;
    std::uint64_t PeerStatistics::*value;
};

constexpr std::array<PeerCounter, 5> PeerCounters = {{
        {"anvilmill_peer_connections_refused_total", &PeerStatistics::connectionsRefused},
        {"anvilmill_peer_connections_unread_total", &PeerStatistics::connectionsUnread},
        {"anvilmill_peer_connections_silent_total", &PeerStatistics::connectionsSilent},
        {"anvilmill_peer_messages_malformed_total", &PeerStatistics::malformed},
        {"anvilmill_peer_messages_dropped_total", &PeerStatistics::messagesDropped},
}};

} // namespace

std::string EntryHost::metricsText() const
{
    const RunnerFigures figures = m_runner.figures();
    std::string text;
    appendMetric(text, "anvilmill_jobs_open", "gauge", static_cast<double>(figures.jobs));
    appendMetric(text, "anvilmill_tasks_queued", "gauge", static_cast<double>(figures.queuedTasks));
    appendMetric(text, "anvilmill_tasks_in_flight", "gauge",
                 static_cast<double>(figures.tasksInFlight));
    appendMetric(text, "anvilmill_submissions_remembered", "gauge",
                 static_cast<double>(m_submissions.size()));
    appendMetric(text, "anvilmill_starts_total", "counter",
                 static_cast<double>(figures.backend.starts));
    appendMetric(text, "anvilmill_starts_refused_total", "counter",
                 static_cast<double>(figures.backend.refusedStarts));
    appendMetric(text, "anvilmill_task_queries_total", "counter",
                 static_cast<double>(figures.backend.queries));
    appendMetric(text, "anvilmill_silent_connections_total", "counter",
                 static_cast<double>(figures.backend.silentConnections));
    appendMetric(text, "anvilmill_answers_retained_bytes", "gauge",
                 static_cast<double>(m_retained.bytes()));
    appendMetric(text, "anvilmill_answers_evicted_total", "counter",
                 static_cast<double>(m_retained.evicted()));
    appendMetric(text, "anvilmill_open_jobs_bytes", "gauge",
                 static_cast<double>(m_memory.openJobs->held()));
    appendMetric(text, "anvilmill_log_lines_omitted_total", "counter",
                 static_cast<double>(omittedLogLines()));
    appendMetric(text, "anvilmill_admission_messages_ignored_total", "counter",
                 static_cast<double>(m_admission.status().messagesIgnored));
    const PeerStatistics peers = m_gateway.statistics();
    for (const PeerCounter &counter : PeerCounters)
        appendMetric(text, counter.name, "counter", static_cast<double>(peers.*counter.value));
    appendLimits(text, m_callerLimits);
    m_metrics.append(text);
    return text;
}

HostStatus EntryHost::status() const
{
    const RunnerFigures figures = m_runner.figures();
    HostStatus status;
    status.dataCentre = m_settings.host.dataCentre;
    status.host = m_settings.host.name;
    status.incarnation = static_cast<std::int64_t>(m_self.incarnation);
    status.ready = isReady();
    status.jobsOpen = static_cast<std::int64_t>(figures.jobs);
    status.tasksQueued = static_cast<std::int64_t>(figures.queuedTasks);
    status.tasksInFlight = static_cast<std::int64_t>(figures.tasksInFlight);
    status.submissionsRemembered = static_cast<std::int64_t>(m_submissions.size());
    const View view = m_guard.currentView();
    status.epoch = static_cast<std::int64_t>(view.epoch);
    status.members = std::vector<std::string>();
    for (const HostIncarnation &member : view.members)
        status.members->push_back(member.asString());
    status.revision = static_cast<std::int64_t>(m_revision.load());
    status.mayActAsOwner = m_guard.mayActAsOwner();
    return status;
}

HostObjectives EntryHost::objectives() const
{
    return m_objectives.snapshot(m_settings.host.dataCentre + "/" + m_settings.host.name);
}

} // namespace anvilmill::daemon
