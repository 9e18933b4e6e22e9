#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/configuration/sizesplit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A request for a leased share of a service's size, or for its renewal.
struct ShareRequest
{
    /// Increases with each request of one borrower.
    std::uint64_t number = 0;
    /// Amount that the borrower holds from earlier grants that have not expired.
    int held = 0;
    /// The split under which the held share was granted.
    SizeSplit basis;
    /// Amount that the borrower could use in addition to its floor.
    int wanted = 0;
};

/// \brief The reply to a ShareRequest.
struct ShareGrant
{
    /// Number of the request.
    std::uint64_t number = 0;
    int amount = 0;
    /// Lease duration, counted from when the request was sent.
    Duration length{};
    /// The split under which the grant was made.
    SizeSplit basis;
};

/// \brief Holds a leased share. A share that is not renewed in time expires.
///
/// Only the grant for the latest request is accepted; late and duplicate grants are ignored. A
/// lease starts when its request is sent, so that it expires at the borrower before it expires at
/// the lender.
///
/// Thread safety: one thread at a time.
class ShareBorrower
{
public:
    /// \p clock must outlive the borrower.
    explicit ShareBorrower(const Clock &clock) noexcept;

    /// \brief Creates the next request. \p inUse is the part of the share that cannot be returned
    /// now.
    [[nodiscard]] ShareRequest request(int wanted, int inUse);

    void accept(const ShareGrant &grant);

    /// \brief Amount available for new use under \p split.
    [[nodiscard]] int usable(const SizeSplit &split) const noexcept;

    /// \brief Amount that this borrower may have in use: usable(), or more while a larger share
    /// that was not renewed in full is \p inUse and has not expired.
    [[nodiscard]] int held(const SizeSplit &split, int inUse) const noexcept;

    /// \brief When the usable share expires.
    [[nodiscard]] MonotonicTime usableUntil() const noexcept { return m_current.until; }

private:
    struct Lease
    {
        int amount = 0;
        MonotonicTime until;
        SizeSplit basis;
    };

    [[nodiscard]] int scaledAmount(const Lease &lease, const SizeSplit &split) const noexcept;
    [[nodiscard]] int unexpiredAmount(const Lease &lease) const noexcept;

    const Clock &m_clock;
    Lease m_current;
    /// A larger share that the current one replaced.
    Lease m_previous;
    std::uint64_t m_lastNumber = 0;
    MonotonicTime m_requestedAt;
};

struct ShareLenderOptions
{
    Duration leaseLength = std::chrono::seconds(4);
    /// Added at the lender to allow for clock drift between lender and borrower.
    Duration margin = std::chrono::milliseconds(100);

    /// \brief Options of the home data centre, which lends to data centres. Their leases are longer
    /// than those of the hosts, so that the hosts' leases are not shortened while the data centres'
    /// leases are renewed.
    [[nodiscard]] static ShareLenderOptions forHome();
};

/// \brief Time between two requests of one borrower.
constexpr Duration ShareRenewInterval = std::chrono::seconds(1);

/// \brief Lends a pool to borrowers by demand, never more than the pool in total.
///
/// A lender that replaces another one renews shares up to the amounts that their holders report,
/// and grants no further amounts until all leases of its predecessor have expired.
///
/// Precondition: at most one lender of a pool is active at any time.
///
/// Thread safety: one thread at a time.
class ShareLender
{
public:
    /// \p clock must outlive the lender. \p isFirst: no other lender has granted leases from the
    /// pool.
    ShareLender(const Clock &clock, const ShareLenderOptions &options, bool isFirst);

    /// \brief Sets the amounts to lend: \p permanent, and \p leased until \p leasedUntil.
    void setPool(const SizeSplit &basis, int permanent, int leased, MonotonicTime leasedUntil);

    /// \brief Grants a share to \p borrower; empty if the request is not newer than an earlier one.
    [[nodiscard]] std::optional<ShareGrant> answer(const std::string &borrower,
                                                   const ShareRequest &request);

    /// \brief Total amount that the borrowers may hold now.
    [[nodiscard]] int outstanding() const;

    /// \brief Total amount that the borrowers could use.
    [[nodiscard]] int wanted() const;

private:
    /// An amount that a borrower may hold until its lease expires.
    struct LeasedAmount
    {
        int amount = 0;
        SizeSplit basis;
        MonotonicTime until;
    };

    /// The amounts that one borrower may hold: the last grant, and the earlier ones, which it keeps
    /// if the last grant is lost.
    struct Loan
    {
        std::uint64_t number = 0;
        int wanted = 0;
        LeasedAmount granted;
        std::vector<LeasedAmount> earlier;

        [[nodiscard]] MonotonicTime until() const;
        /// Records that the borrower holds at most \p held now.
        void limitTo(int held, MonotonicTime now);
    };

    template <typename Amount>
    [[nodiscard]] int totalExcept(const std::string &borrower, MonotonicTime after,
                                  Amount &&amountOf) const;
    [[nodiscard]] int outstandingExcept(const std::string &borrower, MonotonicTime after) const;
    [[nodiscard]] int scaledExcept(const std::string &borrower) const;
    [[nodiscard]] bool isLeasedPartExpiring() const;
    [[nodiscard]] int maxGrantable(const std::string &borrower, const ShareRequest &request) const;
    [[nodiscard]] int amountFor(const std::string &borrower, const ShareRequest &request) const;
    [[nodiscard]] int fairShare(const std::string &borrower, int pool) const;
    void dropExpired();

    const Clock &m_clock;
    ShareLenderOptions m_options;
    MonotonicTime m_newGrantsFrom;
    SizeSplit m_basis;
    int m_permanent = 0;
    int m_leased = 0;
    MonotonicTime m_leasedUntil;
    std::map<std::string, Loan> m_loans;
};

/// \brief Manages one data centre's share of a service's size: borrows from the home data centre
/// and lends to the hosts.
///
/// Thread safety: one thread at a time.
class ShareRelay
{
public:
    ShareRelay(const Clock &clock, const ShareLenderOptions &options, bool isFirst);

    void setSplit(const SizeSplit &split);

    /// \brief The request to send to the home data centre.
    [[nodiscard]] ShareRequest request();
    void accept(const ShareGrant &grant);

    /// \brief Grants a share to a host of this data centre; empty if the request is outdated.
    [[nodiscard]] std::optional<ShareGrant> answer(const std::string &host,
                                                   const ShareRequest &request);

private:
    void updatePool();
    [[nodiscard]] int inUse() const;

    SizeSplit m_split;
    ShareBorrower m_borrower;
    ShareLender m_lender;
};

} // namespace anvilmill
