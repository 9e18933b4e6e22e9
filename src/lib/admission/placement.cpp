#include "anvilmill/admission/placement.h"

namespace anvilmill {

namespace {

/// Finalizer of MurmurHash3: each input bit changes each output bit with a probability of 1/2.
constexpr std::uint64_t mixed(std::uint64_t value) noexcept
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// The same on every host. Needs no secret: callers choose keys, but not member names.
std::uint64_t hashOf(const std::string &name) noexcept
{
    return fingerprintOf(name, HashSecret{}).low;
}

} // namespace

Placement::Placement(View view)
    : m_view(std::move(view))
{
    m_memberHashes.reserve(m_view.members.size());
    for (const HostIncarnation &member : m_view.members)
        m_memberHashes.push_back(hashOf(member.asString()));
}

Placement::Hosts Placement::hostsOf(const KeyFingerprint &key) const noexcept
{
    Hosts hosts;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (std::size_t i = 0; i < m_memberHashes.size(); ++i) {
        const std::uint64_t score = mixed(key.low ^ m_memberHashes[i]);
        if (hosts.directory == None || score > first) {
            hosts.backup = hosts.directory;
            second = first;
            hosts.directory = i;
            first = score;
        } else if (hosts.backup == None || score > second) {
            hosts.backup = i;
            second = score;
        }
    }
    return hosts;
}

const HostIncarnation &Placement::member(std::size_t index) const
{
    return m_view.members[index];
}

const std::string &homeOf(const KeyFingerprint &key, const std::vector<std::string> &dataCentres)
{
    const std::string *best = &dataCentres.front();
    std::uint64_t bestScore = 0;
    for (const std::string &dataCentre : dataCentres) {
        const std::uint64_t score = mixed(key.high ^ hashOf(dataCentre));
        if (score > bestScore) {
            bestScore = score;
            best = &dataCentre;
        }
    }
    return *best;
}

} // namespace anvilmill
