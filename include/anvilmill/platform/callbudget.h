#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/platform/keyvaluestore.h"
#include "anvilmill/randomsource.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace anvilmill {

/// \brief The purpose of a call to the platform.
enum class CallPurpose { Membership, Configuration, HostList, Operator };

constexpr std::size_t CallPurposes = 4;

/// \brief The spelling used in logs and metrics.
[[nodiscard]] std::string_view asString(CallPurpose purpose) noexcept;

/// \brief Rate limits and backoff bounds of one host's calls to the platform, applied to each
/// purpose separately.
struct CallBudgetOptions
{
    double callsPerSecond = 5;
    /// Capacity of the token bucket: calls that may be made at once after an idle period.
    double burst = 10;
    /// Bounds of the exponential backoff after failed calls, before jitter.
    Duration minBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(5);
};

/// \brief Calls made for one purpose since the start.
struct CallCounts
{
    std::uint64_t made = 0;
    std::uint64_t failed = 0;
    /// Calls that the budget rejected.
    std::uint64_t denied = 0;
};

/// \brief Counts the calls of one host to the platform and limits their rate.
///
/// Each purpose has its own token bucket. A failed call starts an exponential backoff with full
/// jitter, so that hosts which lost contact with the platform at the same moment don't all retry
/// at the same moment.
///
/// Thread safety: all methods may be called from any thread.
class CallBudget
{
public:
    /// \brief \p clock must outlive the budget.
    CallBudget(const CallBudgetOptions &options, const Clock &clock, std::uint64_t seed);

    /// \brief Takes one token for a call; returns false if the call must not be made now.
    [[nodiscard]] bool tryCall(CallPurpose purpose);

    /// \brief Records the outcome of a call that tryCall() permitted.
    void callEnded(CallPurpose purpose, CallOutcome outcome);

    /// \brief The earliest time at which tryCall() may succeed.
    [[nodiscard]] MonotonicTime nextCall(CallPurpose purpose) const;

    [[nodiscard]] CallCounts counts(CallPurpose purpose) const;

private:
    /// Token bucket, backoff state and counters of one purpose.
    struct PurposeState
    {
        CallCounts counts;
        double tokens = 0;
        MonotonicTime refilled;
        MonotonicTime notBefore;
        int failures = 0;
    };

    void refill(PurposeState &state) const;
    [[nodiscard]] PurposeState &stateOf(CallPurpose purpose);

    const CallBudgetOptions m_options;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    SeededRandom m_random;
    std::array<PurposeState, CallPurposes> m_states;
};

/// \brief Decorator of a key-value store that makes all calls for one purpose, within a budget.
///
/// A call that the budget rejects returns Unreachable at once, without reaching the store.
///
/// Thread safety: all methods may be called from any thread.
class BudgetedStore final : public KeyValueStore
{
public:
    /// \brief \p store and \p budget must outlive this object.
    BudgetedStore(KeyValueStore &store, CallBudget &budget, CallPurpose purpose);

    [[nodiscard]] StoreReply get(const std::string &key, Duration timeout) override;
    [[nodiscard]] StoreReply put(const StorePut &change, Duration timeout) override;
    [[nodiscard]] StoreReply watch(const std::string &key, StoreVersion known,
                                   Duration wait) override;
    [[nodiscard]] LeaseReply grantLease(const std::string &holder, Duration length,
                                        Duration timeout) override;
    [[nodiscard]] LeaseReply renewLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply queryLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply releaseLease(LeaseId lease, Duration timeout) override;

private:
    template <typename Reply, typename Call>
    Reply callWithinBudget(const Call &call);

    KeyValueStore &m_store;
    CallBudget &m_budget;
    const CallPurpose m_purpose;
};

} // namespace anvilmill
