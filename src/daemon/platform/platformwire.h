#pragma once

#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"

#include "platform.h"

namespace anvilmill::daemon {

[[nodiscard]] wire::platform::Entry asWire(const StoreEntry &entry);
[[nodiscard]] StoreEntry asStoreEntry(const wire::platform::Entry &entry);
[[nodiscard]] wire::platform::LeaseAnswer asWire(const LeaseReply &reply);
[[nodiscard]] wire::platform::LeaseList asWire(const std::vector<LeaseId> &leases);
[[nodiscard]] std::vector<LeaseId> asLeases(const std::vector<std::int64_t> &leases);
[[nodiscard]] wire::platform::Host asWire(const ListedHost &host);
[[nodiscard]] ListedHost asListedHost(const wire::platform::Host &host);

} // namespace anvilmill::daemon
