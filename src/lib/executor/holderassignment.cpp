#include "anvilmill/executor/holderassignment.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace anvilmill {

namespace {

/// The dispatchers of a data centre have at least this share of its processors.
constexpr double DispatchersShare = 0.5;
/// Leaves at least one dispatcher when two hosts are lost at once.
constexpr std::size_t MinDispatchers = 3;
/// Hosts below this share of the strongest host's processors are weak. Where equally weak hosts all
/// dispatched beside strong ones, each held few executors, and 60% of the starts of an overloaded fleet
/// of 45 hosts were refused.
constexpr double WeakShare = 1.0 / 3.0;
/// So many strong dispatchers need no weak ones beside them.
constexpr std::size_t MinStrongDispatchers = 2;

// FNV-1a with a final mix; unlike std::hash, it yields the same value on every host.
std::uint64_t hashOf(const std::string &executor, const std::string &host)
{
    constexpr std::uint64_t Offset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t Prime = 0x100000001b3ULL;
    constexpr std::uint64_t Mix = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned Shift = 29;
    std::uint64_t hash = Offset;
    for (const std::string *part : {&executor, &host}) {
        for (const char c : *part)
            hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
        hash = (hash ^ 0xffU) * Prime;
    }
    hash ^= hash >> Shift;
    hash *= Mix;
    return hash ^ (hash >> Shift);
}

double strengthOf(const PeerHost &host)
{
    return static_cast<double>(std::max<std::int64_t>(1, host.milliCores));
}

/// Weighted rendezvous hash: a host has the highest score with a probability proportional to its
/// strength.
double scoreOf(const std::string &executor, const PeerHost &host)
{
    constexpr unsigned Unused = 11; // Leaves the 53 bits that a double holds exactly.
    constexpr double Range = 9007199254740992.0;
    const auto bits = static_cast<double>(hashOf(executor, host.name) >> Unused);
    return -strengthOf(host) / std::log((bits + 0.5) / Range);
}

double totalStrength(const std::vector<PeerHost> &hosts)
{
    double total = 0.0;
    for (const PeerHost &host : hosts)
        total += strengthOf(host);
    return total;
}

/// The strongest of \p hosts; equally strong hosts are either all included or all excluded.
std::vector<PeerHost> strongestOf(std::vector<PeerHost> hosts)
{
    std::stable_sort(hosts.begin(), hosts.end(), [](const PeerHost &left, const PeerHost &right) {
        return strengthOf(left) > strengthOf(right);
    });
    const double required = DispatchersShare * totalStrength(hosts);
    const auto isWeak = [&](const PeerHost &host) {
        return strengthOf(host) < WeakShare * strengthOf(hosts.front());
    };
    double strength = 0.0;
    std::size_t chosen = 0;
    while (chosen < hosts.size()) {
        const bool isFirstWeak = chosen > 0 && isWeak(hosts[chosen]) && !isWeak(hosts[chosen - 1]);
        if (isFirstWeak && chosen >= MinStrongDispatchers)
            break;
        const bool isTied =
                chosen > 0 && strengthOf(hosts[chosen]) == strengthOf(hosts[chosen - 1]);
        if (chosen >= MinDispatchers && strength >= required && !isTied)
            break;
        strength += strengthOf(hosts[chosen]);
        ++chosen;
    }
    hosts.resize(chosen);
    return hosts;
}

} // namespace

HolderAssignment::HolderAssignment(const HostMembership &membership)
    : m_revision(membership.revision)
{
    std::map<std::string, std::vector<PeerHost>> hosts;
    for (const PeerHost &host : membership.hosts) {
        if (!host.isLeaving)
            hosts[host.dataCentre].push_back(host);
    }
    for (auto &[dataCentre, local] : hosts) {
        auto &dispatchers = m_byDataCentre[dataCentre] = strongestOf(std::move(local));
        m_all.insert(m_all.end(), dispatchers.begin(), dispatchers.end());
    }
    for (const PeerHost &host : m_all)
        m_strengths[host.name] = strengthOf(host);
    m_totalStrength = totalStrength(m_all);
}

const std::vector<PeerHost> &HolderAssignment::dispatchersOf(const std::string &dataCentre) const
{
    static const std::vector<PeerHost> none;
    const auto found = m_byDataCentre.find(dataCentre);
    return found == m_byDataCentre.end() ? none : found->second;
}

bool HolderAssignment::isDispatcher(const std::string &host) const
{
    return m_strengths.count(host) > 0;
}

double HolderAssignment::shareOf(const std::string &host) const
{
    const auto found = m_strengths.find(host);
    return found == m_strengths.end() ? 0.0 : found->second / m_totalStrength;
}

const std::vector<PeerHost> &HolderAssignment::candidatesFor(const std::string &dataCentre) const
{
    const std::vector<PeerHost> &local = dispatchersOf(dataCentre);
    return local.empty() ? m_all : local;
}

bool HolderAssignment::holds(const std::string &host, const std::string &executor,
                             const std::string &dataCentre) const
{
    const std::vector<PeerHost> &candidates = candidatesFor(dataCentre);
    const bool isCandidate = std::any_of(candidates.begin(), candidates.end(),
                                         [&](const PeerHost &each) { return each.name == host; });
    return isCandidate && holderOf(executor, dataCentre) == host;
}

std::optional<std::string> HolderAssignment::holderOf(const std::string &executor,
                                                      const std::string &dataCentre) const
{
    const std::vector<PeerHost> &candidates = candidatesFor(dataCentre);
    const PeerHost *holder = nullptr;
    double highest = 0.0;
    for (const PeerHost &host : candidates) {
        const double score = scoreOf(executor, host);
        if (holder && score <= highest)
            continue;
        holder = &host;
        highest = score;
    }
    return holder ? std::make_optional(holder->name) : std::nullopt;
}

} // namespace anvilmill
