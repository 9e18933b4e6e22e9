#include "anvilmill/platform/callbudget.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr int MaxDoublings = 16;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool isFailure(CallOutcome outcome)
{
    return outcome == CallOutcome::Unreachable || outcome == CallOutcome::Unknown;
}

} // namespace

std::string_view asString(CallPurpose purpose) noexcept
{
    constexpr std::array<std::string_view, CallPurposes> Names = {"membership", "configuration",
                                                                  "hostList", "operator"};
    return Names[static_cast<std::size_t>(purpose)];
}

CallBudget::CallBudget(const CallBudgetOptions &options, const Clock &clock, std::uint64_t seed)
    : m_options(options)
    , m_clock(clock)
    , m_random(seed)
{
    for (PurposeState &state : m_states) {
        state.tokens = options.burst;
        state.refilled = clock.now();
    }
}

CallBudget::PurposeState &CallBudget::stateOf(CallPurpose purpose)
{
    return m_states[static_cast<std::size_t>(purpose)];
}

void CallBudget::refill(PurposeState &state) const
{
    const MonotonicTime now = m_clock.now();
    const double newTokens = secondsOf(now - state.refilled) * m_options.callsPerSecond;
    state.tokens = std::min(m_options.burst, state.tokens + newTokens);
    state.refilled = now;
}

bool CallBudget::tryCall(CallPurpose purpose)
{
    const std::lock_guard lock(m_mutex);
    PurposeState &state = stateOf(purpose);
    refill(state);
    if (state.tokens < 1 || m_clock.now() < state.notBefore) {
        ++state.counts.denied;
        return false;
    }
    state.tokens -= 1;
    ++state.counts.made;
    return true;
}

void CallBudget::callEnded(CallPurpose purpose, CallOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    PurposeState &state = stateOf(purpose);
    if (!isFailure(outcome)) {
        state.failures = 0;
        return;
    }
    ++state.counts.failed;
    const int doublings = std::min(state.failures++, MaxDoublings);
    const double maxDelay = std::min(secondsOf(m_options.maxBackoff),
                                     secondsOf(m_options.minBackoff) * (1U << doublings));
    state.notBefore = m_clock.now() + asDuration(maxDelay * m_random.nextUnit());
}

MonotonicTime CallBudget::nextCall(CallPurpose purpose) const
{
    const std::lock_guard lock(m_mutex);
    PurposeState state = m_states[static_cast<std::size_t>(purpose)];
    refill(state);
    const double missing = std::max(0.0, 1 - state.tokens) / m_options.callsPerSecond;
    return std::max(state.notBefore, m_clock.now() + asDuration(missing));
}

CallCounts CallBudget::counts(CallPurpose purpose) const
{
    const std::lock_guard lock(m_mutex);
    return m_states[static_cast<std::size_t>(purpose)].counts;
}

BudgetedStore::BudgetedStore(KeyValueStore &store, CallBudget &budget, CallPurpose purpose)
    : m_store(store)
    , m_budget(budget)
    , m_purpose(purpose)
{
}

template <typename Reply, typename Call>
Reply BudgetedStore::callWithinBudget(const Call &call)
{
    if (!m_budget.tryCall(m_purpose)) {
        Reply rejected;
        rejected.reason = "rejected by the call budget";
        return rejected;
    }
    Reply reply = call();
    m_budget.callEnded(m_purpose, reply.outcome);
    return reply;
}

StoreReply BudgetedStore::get(const std::string &key, Duration timeout)
{
    return callWithinBudget<StoreReply>([&] { return m_store.get(key, timeout); });
}

StoreReply BudgetedStore::put(const StorePut &change, Duration timeout)
{
    return callWithinBudget<StoreReply>([&] { return m_store.put(change, timeout); });
}

StoreReply BudgetedStore::watch(const std::string &key, StoreVersion known, Duration wait)
{
    return callWithinBudget<StoreReply>([&] { return m_store.watch(key, known, wait); });
}

LeaseReply BudgetedStore::grantLease(const std::string &holder, Duration length, Duration timeout)
{
    return callWithinBudget<LeaseReply>(
            [&] { return m_store.grantLease(holder, length, timeout); });
}

LeaseReply BudgetedStore::renewLeases(const std::vector<LeaseId> &leases, Duration timeout)
{
    return callWithinBudget<LeaseReply>([&] { return m_store.renewLeases(leases, timeout); });
}

LeaseReply BudgetedStore::queryLeases(const std::vector<LeaseId> &leases, Duration timeout)
{
    return callWithinBudget<LeaseReply>([&] { return m_store.queryLeases(leases, timeout); });
}

LeaseReply BudgetedStore::releaseLease(LeaseId lease, Duration timeout)
{
    return callWithinBudget<LeaseReply>([&] { return m_store.releaseLease(lease, timeout); });
}

} // namespace anvilmill
