#include "anvilmill/configuration/share.h"

#include <algorithm>
#include <vector>

namespace anvilmill {

ShareLenderOptions ShareLenderOptions::forHome()
{
    ShareLenderOptions options;
    options.leaseLength = std::chrono::seconds(9);
    return options;
}

ShareBorrower::ShareBorrower(const Clock &clock) noexcept
    : m_clock(clock)
{
}

int ShareBorrower::unexpiredAmount(const Lease &lease) const noexcept
{
    return m_clock.now() < lease.until ? lease.amount : 0;
}

int ShareBorrower::scaledAmount(const Lease &lease, const SizeSplit &split) const noexcept
{
    return split.scaled(unexpiredAmount(lease), lease.basis);
}

ShareRequest ShareBorrower::request(int wanted, int inUse)
{
    ShareRequest request;
    request.number = ++m_lastNumber;
    // Not scaled to the new size: a lender that has not received it yet must not lend the
    // difference to other borrowers.
    const int previous = std::min(unexpiredAmount(m_previous), inUse);
    const bool isCurrent = unexpiredAmount(m_current) >= previous;
    request.held = isCurrent ? unexpiredAmount(m_current) : previous;
    request.basis = isCurrent ? m_current.basis : m_previous.basis;
    request.wanted = wanted;
    m_requestedAt = m_clock.now();
    return request;
}

void ShareBorrower::accept(const ShareGrant &grant)
{
    if (grant.number != m_lastNumber)
        return;
    const Lease next = {grant.amount, m_requestedAt + grant.length, grant.basis};
    const int before = std::max(unexpiredAmount(m_current), unexpiredAmount(m_previous));
    if (unexpiredAmount(m_current) >= before && before > next.amount)
        m_previous = m_current;
    m_current = next;
}

int ShareBorrower::usable(const SizeSplit &split) const noexcept
{
    return scaledAmount(m_current, split);
}

int ShareBorrower::held(const SizeSplit &split, int inUse) const noexcept
{
    return std::max(scaledAmount(m_current, split),
                    std::min(scaledAmount(m_previous, split), inUse));
}

ShareLender::ShareLender(const Clock &clock, const ShareLenderOptions &options, bool isFirst)
    : m_clock(clock)
    , m_options(options)
    , m_newGrantsFrom(clock.now())
{
    if (!isFirst)
        m_newGrantsFrom += options.leaseLength + options.margin;
}

void ShareLender::setPool(const SizeSplit &basis, int permanent, int leased,
                          MonotonicTime leasedUntil)
{
    m_basis = basis;
    m_permanent = permanent;
    m_leased = leased;
    m_leasedUntil = leasedUntil;
}

MonotonicTime ShareLender::Loan::until() const
{
    MonotonicTime latest = granted.until;
    for (const LeasedAmount &lease : earlier)
        latest = std::max(latest, lease.until);
    return latest;
}

void ShareLender::Loan::limitTo(int held, MonotonicTime now)
{
    earlier.push_back(granted);
    for (LeasedAmount &lease : earlier)
        lease.amount = std::min(lease.amount, held);
    const auto isReleased = [now](const LeasedAmount &lease) {
        return lease.amount == 0 || lease.until <= now;
    };
    earlier.erase(std::remove_if(earlier.begin(), earlier.end(), isReleased), earlier.end());
}

std::optional<ShareGrant> ShareLender::answer(const std::string &borrower,
                                              const ShareRequest &request)
{
    dropExpired();
    const MonotonicTime now = m_clock.now();
    const MonotonicTime until = now + m_options.leaseLength + m_options.margin;
    const bool isKnown = m_loans.count(borrower) > 0;
    Loan &loan = m_loans[borrower];
    if (request.number <= loan.number)
        return std::nullopt;
    loan.number = request.number;
    loan.wanted = std::max(request.wanted, 0);
    const int amount = amountFor(borrower, request);
    loan.limitTo(request.held, now);
    if (!isKnown && request.held > 0)
        loan.earlier.push_back({request.held, request.basis, until});
    loan.granted = {amount, m_basis, until};
    return ShareGrant{request.number, amount, m_options.leaseLength, m_basis};
}

/// True while a lease of full length would outlast the leased part of the pool.
bool ShareLender::isLeasedPartExpiring() const
{
    const MonotonicTime now = m_clock.now();
    return now < m_leasedUntil && now + m_options.leaseLength > m_leasedUntil;
}

int ShareLender::amountFor(const std::string &borrower, const ShareRequest &request) const
{
    const bool isLasting = m_clock.now() + m_options.leaseLength <= m_leasedUntil;
    const int pool = m_permanent + (isLasting ? m_leased : 0);
    const int amount = std::min(fairShare(borrower, pool), maxGrantable(borrower, request));
    if (m_clock.now() >= m_newGrantsFrom)
        return std::max(0, amount);
    // Other borrowers may hold shares that this lender has not yet recorded; they scale like this
    // one.
    return std::max(0, std::min(amount, m_basis.scaled(request.held, request.basis)));
}

int ShareLender::maxGrantable(const std::string &borrower, const ShareRequest &request) const
{
    const MonotonicTime now = m_clock.now();
    const int pool = m_permanent + (now < m_leasedUntil ? m_leased : 0);
    const int free = pool - outstandingExcept(borrower, now);
    // After a reduction of the size, the recorded shares of other borrowers may exceed the pool
    // until renewed, but each borrower scales its share once it has received the new size. A share
    // scaled in the same way fits.
    const LeasedAmount &last = m_loans.at(borrower).granted;
    const int granted = now < last.until ? m_basis.scaled(last.amount, last.basis) : 0;
    const int kept = std::min(std::max(granted, m_basis.scaled(request.held, request.basis)),
                              pool - scaledExcept(borrower));
    const int fits = std::max(free, kept);
    if (!isLeasedPartExpiring())
        return fits;
    // Shares that outlast the leased part of the pool must fit the permanent part.
    const MonotonicTime end = m_leasedUntil + m_options.margin;
    return std::min(fits, m_permanent - outstandingExcept(borrower, end));
}

template <typename Amount>
int ShareLender::totalExcept(const std::string &borrower, MonotonicTime after,
                             Amount &&amountOf) const
{
    int total = 0;
    for (const auto &[name, loan] : m_loans) {
        if (name == borrower)
            continue;
        int most = after < loan.granted.until ? amountOf(loan.granted) : 0;
        for (const LeasedAmount &lease : loan.earlier) {
            if (after < lease.until)
                most = std::max(most, amountOf(lease));
        }
        total += most;
    }
    return total;
}

int ShareLender::outstandingExcept(const std::string &borrower, MonotonicTime after) const
{
    return totalExcept(borrower, after, [](const LeasedAmount &lease) { return lease.amount; });
}

int ShareLender::scaledExcept(const std::string &borrower) const
{
    return totalExcept(borrower, m_clock.now(), [this](const LeasedAmount &lease) {
        return m_basis.scaledUp(lease.amount, lease.basis);
    });
}

int ShareLender::outstanding() const
{
    return outstandingExcept("", m_clock.now());
}

int ShareLender::wanted() const
{
    int total = 0;
    for (const auto &[name, loan] : m_loans) {
        if (m_clock.now() < loan.until())
            total += loan.wanted;
    }
    return total;
}

/// Max-min fairness: each borrower gets its demand up to a common level, the highest that the pool
/// can cover.
int ShareLender::fairShare(const std::string &borrower, int pool) const
{
    std::vector<int> demands;
    for (const auto &[name, loan] : m_loans) {
        if (name == borrower || m_clock.now() < loan.until())
            demands.push_back(loan.wanted);
    }
    std::sort(demands.begin(), demands.end());
    const int own = m_loans.at(borrower).wanted;
    int remaining = pool;
    auto others = static_cast<int>(demands.size());
    for (const int demand : demands) {
        const int level = remaining / others;
        if (demand > level)
            return std::min(own, level);
        if (demand == own)
            return own;
        remaining -= demand;
        --others;
    }
    return own;
}

void ShareLender::dropExpired()
{
    const MonotonicTime now = m_clock.now();
    for (auto each = m_loans.begin(); each != m_loans.end();) {
        // Request numbers outlive the lease by ten lease lengths, so that a delayed request is not
        // mistaken for a new one.
        const bool isStale = each->second.until() + 10 * m_options.leaseLength < now;
        each = isStale ? m_loans.erase(each) : std::next(each);
    }
}

ShareRelay::ShareRelay(const Clock &clock, const ShareLenderOptions &options, bool isFirst)
    : m_borrower(clock)
    , m_lender(clock, options, isFirst)
{
}

void ShareRelay::setSplit(const SizeSplit &split)
{
    m_split = split;
    updatePool();
}

int ShareRelay::inUse() const
{
    return std::max(0, m_lender.outstanding() - m_split.hostPool());
}

ShareRequest ShareRelay::request()
{
    const int wanted = std::max(0, m_lender.wanted() - m_split.hostPool());
    return m_borrower.request(wanted, inUse());
}

void ShareRelay::accept(const ShareGrant &grant)
{
    m_borrower.accept(grant);
    updatePool();
}

std::optional<ShareGrant> ShareRelay::answer(const std::string &host, const ShareRequest &request)
{
    updatePool();
    return m_lender.answer(host, request);
}

void ShareRelay::updatePool()
{
    m_lender.setPool(m_split, m_split.hostPool(), m_borrower.usable(m_split),
                     m_borrower.usableUntil());
}

} // namespace anvilmill
