#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <functional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief A key as the store has it, or the record of its removal.
struct StoreItem
{
    std::string key;
    std::string value;
    /// Revision of the store at which it was written or removed.
    StoreVersion revision = NoVersion;
    bool isRemoved = false;
};

/// \brief The items below a prefix, or what has changed there.
struct StoreItems
{
    CallOutcome outcome = CallOutcome::Unreachable;
    std::vector<StoreItem> items;
    /// The revision that the answer stands for: further changes come after it.
    StoreVersion revision = NoVersion;
    std::string reason;
};

/// \brief A condition of a transaction: the key's last revision, NoVersion if it must not exist.
struct StoreExpectation
{
    std::string key;
    StoreVersion revision = NoVersion;
};

/// \brief A key that a transaction writes; removed when its lease ends, if it has one.
struct StoreWrite
{
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/// \brief Changes that take effect together, if all expectations hold.
struct StoreTransaction
{
    std::vector<StoreExpectation> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
};

/// \brief Answer to a transaction or a call about a lease.
struct StoreCommit
{
    CallOutcome outcome = CallOutcome::Unreachable;
    StoreVersion revision = NoVersion;
    LeaseId lease = 0;
    std::string reason;
};

/// \brief The platform's key-value service with several keys a call, for event loops.
///
/// No call is repeated by the implementation. Each handler is called once, from the loop's
/// thread, never from within the call.
///
/// Thread safety: used by the loop's thread alone.
class AsyncStore
{
public:
    using ItemsHandler = std::function<void(const StoreItems &)>;
    using CommitHandler = std::function<void(const StoreCommit &)>;

    virtual ~AsyncStore() = default;

    /// \brief Reads all items below \p prefix, page by page.
    virtual void readAll(const std::string &prefix, ItemsHandler handler) = 0;

    /// \brief Waits up to \p wait for changes below \p prefix after \p revision.
    ///
    /// Unchanged if there were none, HistoryGone if the store no longer has them all.
    virtual void watch(const std::string &prefix, StoreVersion revision, Duration wait,
                       ItemsHandler handler) = 0;

    virtual void commit(const StoreTransaction &transaction, CommitHandler handler) = 0;

    /// \brief Takes a lease that ends \p length after the call or its last renewal.
    virtual void grantLease(Duration length, CommitHandler handler) = 0;

    /// \brief Renews a lease; NoLease if it has ended.
    virtual void renewLease(LeaseId lease, CommitHandler handler) = 0;

    /// \brief Ends a lease; its keys are removed.
    virtual void endLease(LeaseId lease, CommitHandler handler) = 0;
};

} // namespace anvilmill
