#include "inforcewait.h"

#include <algorithm>
#include <map>
#include <set>

namespace anvilmill::tools {

namespace {

using wire::configuration::InForceReport;
using wire::configuration::LaggingHost;

constexpr Duration PollInterval = std::chrono::milliseconds(250);
constexpr Duration ListTimeout = std::chrono::seconds(2);

using HostsByDataCentre = std::map<std::string, std::set<std::string>>;

HostsByDataCentre entryHosts(const HostListReply &reply)
{
    HostsByDataCentre result;
    for (const ListedHost &host : reply.hosts) {
        const bool isLive = host.state == ListedHost::State::Live;
        if (host.role == ListedHost::Role::EntryHost && isLive)
            result[host.dataCentre].insert(host.name);
    }
    return result;
}

std::string actsOnRevision(std::int64_t revision)
{
    return "it acts on revision " + std::to_string(revision);
}

void addLagging(const InForceReport &report, const LaggingHost &host, Revision revision,
                std::vector<NotInForce> &found)
{
    if (host.revision >= static_cast<std::int64_t>(revision))
        return;
    found.push_back({report.dataCentre + "/" + host.host,
                     actsOnRevision(host.revision) + "; " + host.reason});
}

void checkReport(const InForceReport &report, const std::set<std::string> &listed,
                 Revision revision, std::vector<NotInForce> &found)
{
    std::set<std::string> reported(report.hosts.begin(), report.hosts.end());
    for (const LaggingHost &host : report.lagging) {
        reported.insert(host.host);
        addLagging(report, host, revision, found);
    }
    if (report.highestRevision < static_cast<std::int64_t>(revision)) {
        const std::string problem = report.problem ? "; " + *report.problem : "";
        found.push_back(
                {report.dataCentre, "its last report, by " + report.reporter + ", says that "
                                            + actsOnRevision(report.highestRevision) + problem});
    }
    for (const std::string &host : listed) {
        if (reported.count(host) == 0)
            found.push_back(
                    {report.dataCentre + "/" + host,
                     "the platform lists it as live, but its data centre does not report it"});
    }
}

} // namespace

std::vector<NotInForce> findNotInForce(RevisionStore &revisions, HostList &hosts, Revision revision)
{
    const HostListReply list = hosts.hosts("", ListTimeout);
    if (!list.isDone())
        return {{"platform", "the list of hosts can't be read: " + list.reason}};
    std::vector<NotInForce> found;
    for (const auto &[dataCentre, listed] : entryHosts(list)) {
        const auto report = revisions.readReport(dataCentre);
        if (!report)
            found.push_back({dataCentre, report.error().reason});
        else if (!*report)
            found.push_back({dataCentre, "it has not reported which revision it acts on"});
        else
            checkReport(**report, listed, revision, found);
    }
    return found;
}

Revision highestInForce(RevisionStore &revisions, HostList &hosts)
{
    Revision highest = 0;
    const HostListReply list = hosts.hosts("", ListTimeout);
    for (const auto &[dataCentre, listed] : entryHosts(list)) {
        const auto report = revisions.readReport(dataCentre);
        if (report && *report)
            highest = std::max(highest, static_cast<Revision>((*report)->highestRevision));
    }
    return highest;
}

std::vector<NotInForce> waitForForce(RevisionStore &revisions, HostList &hosts, Revision revision,
                                     const Clock &clock, const std::function<void(Duration)> &pause,
                                     Duration limit)
{
    const MonotonicTime end = clock.now() + limit;
    for (;;) {
        std::vector<NotInForce> found = findNotInForce(revisions, hosts, revision);
        if (found.empty() || clock.now() >= end)
            return found;
        pause(PollInterval);
    }
}

} // namespace anvilmill::tools
