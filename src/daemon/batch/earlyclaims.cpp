#include "earlyclaims.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// Hosts read the same list within the time of a slow store's answer and a settle delay of 1.5 s;
/// less than the 2.3 s after which a host abandons runs whose holder is silent.
constexpr Duration KeptFor = std::chrono::seconds(2);
/// A host's runs at the target size, 4,000, doubled.
constexpr std::size_t MaxClaims = 8000;

} // namespace

EarlyClaims::EarlyClaims(const Clock &clock)
    : m_clock(clock)
{
}

void EarlyClaims::keep(RunClaim claim)
{
    drop(claim.run);
    m_claims.push_back({m_clock.now(), std::move(claim)});
    if (m_claims.size() > MaxClaims)
        m_claims.pop_front();
}

void EarlyClaims::drop(const RunId &run)
{
    const auto isOfRun = [&](const Kept &kept) { return kept.claim.run == run; };
    m_claims.erase(std::remove_if(m_claims.begin(), m_claims.end(), isOfRun), m_claims.end());
}

std::vector<RunClaim> EarlyClaims::takeAll()
{
    const MonotonicTime oldest = m_clock.now() - KeptFor;
    std::vector<RunClaim> claims;
    for (Kept &kept : m_claims) {
        if (kept.since >= oldest)
            claims.push_back(std::move(kept.claim));
    }
    m_claims.clear();
    return claims;
}

} // namespace anvilmill::daemon
