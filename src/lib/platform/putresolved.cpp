#include "anvilmill/platform/putresolved.h"

namespace anvilmill {

namespace {

bool isWrittenBy(const std::optional<StoreEntry> &entry, const StorePut &change)
{
    return entry && entry->changeId == change.changeId;
}

StoreReply resolved(const StorePut &change, StoreReply current)
{
    const StoreVersion version = current.entry ? current.entry->version : NoVersion;
    if (isWrittenBy(current.entry, change))
        current.outcome = CallOutcome::Done;
    else if (version != change.expected)
        current.outcome = CallOutcome::Conflict;
    else
        current.outcome = CallOutcome::Unknown;
    return current;
}

} // namespace

StoreReply putResolved(KeyValueStore &store, const StorePut &change, Duration timeout)
{
    StoreReply reply = store.put(change, timeout);
    // A conflict with an entry of the same change id means that an earlier attempt of this change
    // took effect.
    if (reply.outcome == CallOutcome::Conflict && isWrittenBy(reply.entry, change))
        reply.outcome = CallOutcome::Done;
    if (reply.outcome != CallOutcome::Unknown)
        return reply;
    StoreReply current = store.get(change.key, timeout);
    if (!current.isDone())
        return reply;
    return resolved(change, std::move(current));
}

} // namespace anvilmill
