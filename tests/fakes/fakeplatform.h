#pragma once

#include "anvilmill/manualclock.h"
#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"
#include "platform/standinstate.h"

#include <functional>

namespace anvilmill::test {

/// \brief In-memory platform without sockets or waiting.
///
/// Faults are public and may be changed between calls. A watch returns at once.
class FakePlatform final : public KeyValueStore, public HostList
{
public:
    explicit FakePlatform(const Clock &clock)
        : contents(clock)
    {
    }

    [[nodiscard]] StoreReply get(const std::string &key, Duration) override
    {
        return call<StoreReply>([&] { return contents.get(key); });
    }
    [[nodiscard]] StoreReply put(const StorePut &change, Duration) override
    {
        return call<StoreReply>([&] { return contents.put(change); });
    }
    [[nodiscard]] StoreReply watch(const std::string &key, StoreVersion known, Duration) override
    {
        return call<StoreReply>([&] { return contents.watch(key, known, Duration(0)); });
    }
    [[nodiscard]] LeaseReply grantLease(const std::string &holder, Duration length,
                                        Duration) override
    {
        return call<LeaseReply>([&] { return contents.grantLease(holder, length); });
    }
    [[nodiscard]] LeaseReply renewLeases(const std::vector<LeaseId> &leases, Duration) override
    {
        return call<LeaseReply>([&] { return contents.renewLeases(leases); });
    }
    [[nodiscard]] LeaseReply queryLeases(const std::vector<LeaseId> &leases, Duration) override
    {
        return call<LeaseReply>([&] { return contents.queryLeases(leases); });
    }
    [[nodiscard]] LeaseReply releaseLease(LeaseId lease, Duration) override
    {
        return call<LeaseReply>([&] { return contents.releaseLease(lease); });
    }
    [[nodiscard]] HostListReply hosts(const std::string &dataCentre, Duration) override
    {
        return call<HostListReply>([&] { return contents.hosts(dataCentre); });
    }

    daemon::StandInState contents;
    /// Calls fail as Unreachable and have no effect.
    bool isDown = false;
    /// Number of subsequent calls that take effect but end as Unknown.
    int repliesToLose = 0;
    int calls = 0;

private:
    template <typename Reply, typename Call>
    Reply call(const Call &serve)
    {
        ++calls;
        if (isDown)
            return failed<Reply>(CallOutcome::Unreachable);
        Reply reply = serve();
        if (repliesToLose == 0)
            return reply;
        --repliesToLose;
        return failed<Reply>(CallOutcome::Unknown);
    }

    template <typename Reply>
    static Reply failed(CallOutcome outcome)
    {
        Reply reply;
        reply.outcome = outcome;
        reply.reason = "injected fault";
        return reply;
    }
};

} // namespace anvilmill::test
