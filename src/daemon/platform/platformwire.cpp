#include "platformwire.h"

namespace anvilmill::daemon {

wire::platform::Entry asWire(const StoreEntry &entry)
{
    wire::platform::Entry message;
    message.key = entry.key;
    message.value = entry.value;
    message.version = static_cast<std::int64_t>(entry.version);
    message.changeId = entry.changeId;
    return message;
}

StoreEntry asStoreEntry(const wire::platform::Entry &entry)
{
    return {entry.key, entry.value, static_cast<StoreVersion>(entry.version), entry.changeId};
}

wire::platform::LeaseAnswer asWire(const LeaseReply &reply)
{
    wire::platform::LeaseAnswer message;
    message.held = std::vector<std::int64_t>(reply.held.begin(), reply.held.end());
    message.lapsed = std::vector<std::int64_t>(reply.lapsed.begin(), reply.lapsed.end());
    return message;
}

wire::platform::LeaseList asWire(const std::vector<LeaseId> &leases)
{
    wire::platform::LeaseList message;
    message.leases = std::vector<std::int64_t>(leases.begin(), leases.end());
    return message;
}

std::vector<LeaseId> asLeases(const std::vector<std::int64_t> &leases)
{
    return {leases.begin(), leases.end()};
}

wire::platform::Host asWire(const ListedHost &host)
{
    wire::platform::Host message;
    const bool isExecutor = host.role == ListedHost::Role::Executor;
    const bool isLive = host.state == ListedHost::State::Live;
    message.role = isExecutor ? wire::platform::Role::Executor : wire::platform::Role::EntryHost;
    message.state = isLive ? wire::platform::State::Live : wire::platform::State::Leaving;
    message.dataCentre = host.dataCentre;
    message.name = host.name;
    message.address = host.address;
    if (isExecutor)
        message.slots = host.slots;
    if (!host.services.empty())
        message.services = host.services;
    return message;
}

ListedHost asListedHost(const wire::platform::Host &host)
{
    const bool isExecutor = host.role == wire::platform::Role::Executor;
    const bool isLive = host.state == wire::platform::State::Live;
    ListedHost listed;
    listed.role = isExecutor ? ListedHost::Role::Executor : ListedHost::Role::EntryHost;
    listed.state = isLive ? ListedHost::State::Live : ListedHost::State::Leaving;
    listed.dataCentre = host.dataCentre;
    listed.name = host.name;
    listed.address = host.address;
    listed.slots = static_cast<int>(host.slots.value_or(0));
    listed.services = host.services.value_or(std::vector<std::string>());
    return listed;
}

} // namespace anvilmill::daemon
