#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <functional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A key with its current value in the store, or the record of its removal.
struct StoreItem
{
    std::string key;
    std::string value;
    /// Revision of the store at which the key was written or removed.
    StoreVersion revision = NoVersion;
    bool isRemoved = false;
};

/// \brief The items whose keys start with a prefix, or the changes to these items.
struct StoreItems
{
    CallOutcome outcome = CallOutcome::Unreachable;
    std::vector<StoreItem> items;
    /// The store revision that the reply reflects; later changes have a higher revision.
    StoreVersion revision = NoVersion;
    std::string reason;
};

/// \brief A precondition of a transaction: the revision at which the key was last written, or
/// NoVersion if the key must not exist.
struct StoreExpectation
{
    std::string key;
    StoreVersion revision = NoVersion;
};

/// \brief A key that a transaction writes. If it has a lease, the store removes it when the lease
/// ends.
struct StoreWrite
{
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/// \brief Changes that are applied atomically if all expectations are met.
struct StoreTransaction
{
    std::vector<StoreExpectation> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
};

/// \brief Reply to a transaction or to a call that grants, renews or ends a lease.
struct StoreCommit
{
    CallOutcome outcome = CallOutcome::Unreachable;
    StoreVersion revision = NoVersion;
    LeaseId lease = 0;
    std::string reason;
};

/// \brief Asynchronous client of the platform's key-value service, for event loops. A call may
/// cover several keys.
///
/// Implementations don't retry calls. Each handler is called exactly once, on the event loop's
/// thread, and never before the call that it was passed to has returned.
///
/// Thread safety: only to be used on the event loop's thread.
class AsyncStore
{
public:
    using ItemsHandler = std::function<void(const StoreItems &)>;
    using CommitHandler = std::function<void(const StoreCommit &)>;

    virtual ~AsyncStore() = default;

    /// \brief Reads all items whose keys start with \p prefix, page by page.
    virtual void readAll(const std::string &prefix, ItemsHandler handler) = 0;

    /// \brief Waits up to \p wait for changes later than \p revision to keys that start with
    /// \p prefix.
    ///
    /// The outcome is Unchanged if there were none, and HistoryGone if the store no longer keeps
    /// all of these changes.
    virtual void watch(const std::string &prefix, StoreVersion revision, Duration wait,
                       ItemsHandler handler) = 0;

    virtual void commit(const StoreTransaction &transaction, CommitHandler handler) = 0;

    /// \brief Requests a new lease that ends \p length after the call or its last renewal.
    virtual void grantLease(Duration length, CommitHandler handler) = 0;

    /// \brief Renews a lease. The outcome is NoLease if it has ended.
    virtual void renewLease(LeaseId lease, CommitHandler handler) = 0;

    /// \brief Ends a lease; the store removes the keys attached to it.
    virtual void endLease(LeaseId lease, CommitHandler handler) = 0;
};

} // namespace anvilmill
