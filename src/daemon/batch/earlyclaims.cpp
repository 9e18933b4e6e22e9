#include "earlyclaims.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// Hosts adopt the same membership within the settle delay of 1.5 s plus the time that a slow store
/// takes to answer. A run whose claim is dropped is stopped as an orphan.
constexpr Duration ClaimRetention = std::chrono::seconds(2);
/// Twice the 4,000 runs that a host has at the target size.
constexpr std::size_t MaxClaims = 8000;

} // namespace

EarlyClaims::EarlyClaims(const Clock &clock)
    : m_clock(clock)
{
}

void EarlyClaims::add(RunClaim claim)
{
    remove(claim.owner.host, claim.run, claim.executor);
    m_claims.push_back({m_clock.now(), std::move(claim)});
    if (m_claims.size() > MaxClaims)
        m_claims.pop_front();
}

void EarlyClaims::remove(const std::string &host, const RunId &run, const std::string &executor)
{
    const auto matches = [&](const TimedClaim &entry) {
        return entry.claim.run == run && entry.claim.owner.host == host
               && entry.claim.executor == executor;
    };
    m_claims.erase(std::remove_if(m_claims.begin(), m_claims.end(), matches), m_claims.end());
}

std::vector<RunClaim> EarlyClaims::takeAll()
{
    const MonotonicTime oldest = m_clock.now() - ClaimRetention;
    std::vector<RunClaim> claims;
    for (TimedClaim &entry : m_claims) {
        if (entry.added >= oldest)
            claims.push_back(std::move(entry.claim));
    }
    m_claims.clear();
    return claims;
}

} // namespace anvilmill::daemon
