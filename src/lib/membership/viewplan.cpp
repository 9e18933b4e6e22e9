#include "anvilmill/membership/viewplan.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr std::int64_t NoLease = 0;

wire::peer::Member newMember(const Candidate &candidate, std::int64_t epoch)
{
    wire::peer::Member member;
    member.host = candidate.host.host;
    member.incarnation = static_cast<std::int64_t>(candidate.host.incarnation);
    member.address = candidate.address;
    member.lease = NoLease;
    member.joined = epoch;
    return member;
}

bool isCandidate(const ViewFacts &facts, const HostIncarnation &host)
{
    return std::any_of(facts.candidates.begin(), facts.candidates.end(),
                       [&](const Candidate &candidate) { return candidate.host == host; });
}

void keepMembers(const ViewFacts &facts, ViewPlan &plan)
{
    for (const wire::peer::Member &member : facts.base.members) {
        const HostIncarnation host = asIncarnation(facts.base, member);
        if (facts.removable.count(host) != 0) {
            plan.isEpochChange = true;
            continue;
        }
        plan.next.members.push_back(member);
        const bool hasLapsed = facts.lapsedLeases.count(static_cast<LeaseId>(member.lease)) != 0;
        if (hasLapsed && isCandidate(facts, host))
            plan.next.members.back().lease = NoLease;
    }
}

void addJoining(const ViewFacts &facts, ViewPlan &plan)
{
    const auto epoch = static_cast<std::int64_t>(facts.highestEpoch) + 1;
    for (const Candidate &candidate : facts.candidates) {
        const bool isMember = findMember(facts.base, candidate.host) != nullptr;
        if (isMember || facts.removable.count(candidate.host) != 0)
            continue;
        plan.next.members.push_back(newMember(candidate, epoch));
        plan.isEpochChange = true;
    }
}

} // namespace

std::string viewKey(const std::string &dataCentre)
{
    return "anvilmill/view/" + dataCentre;
}

HostIncarnation asIncarnation(const wire::peer::ViewRecord &record,
                              const wire::peer::Member &member)
{
    return {record.dataCentre, member.host, static_cast<std::uint64_t>(member.incarnation)};
}

View asView(const wire::peer::ViewRecord &record)
{
    View view;
    view.epoch = static_cast<std::uint64_t>(record.epoch);
    for (const wire::peer::Member &member : record.members)
        view.members.push_back(asIncarnation(record, member));
    return view;
}

const wire::peer::Member *findMember(const wire::peer::ViewRecord &record,
                                     const HostIncarnation &host)
{
    for (const wire::peer::Member &member : record.members) {
        if (asIncarnation(record, member) == host)
            return &member;
    }
    return nullptr;
}

ViewPlan planView(const ViewFacts &facts)
{
    ViewPlan plan;
    plan.next.dataCentre = facts.dataCentre;
    plan.isEpochChange = facts.isStoreOlder;
    keepMembers(facts, plan);
    addJoining(facts, plan);
    plan.next.epoch = plan.isEpochChange ? static_cast<std::int64_t>(facts.highestEpoch) + 1
                                         : facts.base.epoch;
    for (std::size_t index = 0; index < plan.next.members.size(); ++index) {
        if (plan.next.members[index].lease == NoLease)
            plan.withoutLease.push_back(index);
    }
    return plan;
}

} // namespace anvilmill
