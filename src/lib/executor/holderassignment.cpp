#include "anvilmill/executor/holderassignment.h"

#include <algorithm>
#include <cstdint>

namespace anvilmill {

namespace {

// FNV-1a with a final mix: the same on every host, unlike std::hash.
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

} // namespace

std::optional<std::string> holderOf(const std::string &executor, const std::string &dataCentre,
                                    const HostMembership &membership)
{
    const auto isLocal = [&](const PeerHost &host) {
        return !host.isLeaving && host.dataCentre == dataCentre;
    };
    const bool hasLocal = std::any_of(membership.hosts.begin(), membership.hosts.end(), isLocal);
    std::optional<std::string> holder;
    std::uint64_t highest = 0;
    for (const PeerHost &host : membership.hosts) {
        if (host.isLeaving || (hasLocal && !isLocal(host)))
            continue;
        const std::uint64_t hash = hashOf(executor, host.name);
        if (holder && hash <= highest)
            continue;
        holder = host.name;
        highest = hash;
    }
    return holder;
}

} // namespace anvilmill
