#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief Version of a key. Increases with each write; NoVersion means that the key doesn't exist.
using StoreVersion = std::uint64_t;
constexpr StoreVersion NoVersion = 0;

/// \brief Identifier of a lease in the platform's key-value service. Never reused.
using LeaseId = std::uint64_t;

/// \brief Largest value that the platform's key-value service accepts, in bytes.
constexpr std::size_t MaxStoreValueSize = 1U << 20U;

/// \brief How a call to the platform's key-value service ended.
enum class CallOutcome {
    /// The write took effect, or the query was answered.
    Done,
    /// The key had a version other than the expected one; the put wrote nothing.
    Conflict,
    /// A watch timed out without a change.
    Unchanged,
    /// The call was not sent, or the service rejected it; it had no effect.
    Unreachable,
    /// The call was sent but its reply was lost; it may have taken effect or may still do so.
    Unknown,
    /// The store no longer keeps the requested changes; the caller has to read all items again.
    HistoryGone,
    /// The lease has ended or was never granted.
    NoLease,
};

/// \brief The spelling used in logs: `done`, `conflict`, `unchanged`, `unreachable`, `unknown`,
/// `historyGone`, `noLease`.
[[nodiscard]] std::string_view asString(CallOutcome outcome) noexcept;

/// \brief A key with its most recently written value.
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreVersion version = NoVersion;
    /// The change id of the write that created this version.
    std::string changeId;
};

/// \brief A write that takes effect only if the key still has the expected version.
struct StorePut
{
    std::string key;
    std::string value;
    /// NoVersion if the key must not exist yet.
    StoreVersion expected = NoVersion;
    /// Unique to this change. Identifies the write if its reply was lost.
    std::string changeId;
};

/// \brief Reply of get(), put() and watch().
struct StoreReply
{
    CallOutcome outcome = CallOutcome::Unreachable;
    /// Done: the entry that was read or written, or std::nullopt if the key doesn't exist.
    /// Conflict: the current entry.
    std::optional<StoreEntry> entry;
    /// Why the call failed; empty if it succeeded.
    std::string reason;

    [[nodiscard]] bool isDone() const noexcept { return outcome == CallOutcome::Done; }
};

/// \brief Reply of the calls that grant, renew, query or release leases.
struct LeaseReply
{
    CallOutcome outcome = CallOutcome::Unreachable;
    /// Leases of the request that are in force.
    std::vector<LeaseId> held;
    /// Leases of the request that have lapsed, were released or are unknown to the service. A
    /// lapsed lease is never in force again.
    std::vector<LeaseId> lapsed;
    std::string reason;

    [[nodiscard]] bool isDone() const noexcept { return outcome == CallOutcome::Done; }
};

/// \brief The platform's key-value service: compare-and-swap, leases and watches.
///
/// Each call blocks until the reply arrives or \p timeout has passed. It counts against the
/// service's rate limits; a watch counts as one call however long it waits. Implementations don't
/// retry calls.
///
/// \code
/// StoreReply reply = store.get("sheet", std::chrono::seconds(1));
/// if (reply.isDone() && reply.entry)
///     apply(reply.entry->value);
/// \endcode
///
/// Implementations are safe to call from any thread.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    [[nodiscard]] virtual StoreReply get(const std::string &key, Duration timeout) = 0;

    /// \brief Writes by compare-and-swap.
    ///
    /// If the outcome is Unknown, the caller reads the key back and compares the change id; see
    /// putResolved().
    /// Precondition: the value has at most MaxStoreValueSize bytes.
    [[nodiscard]] virtual StoreReply put(const StorePut &change, Duration timeout) = 0;

    /// \brief Waits until the version of \p key differs from \p known, but at most for \p wait.
    ///
    /// The outcome is Unchanged if the version is still the same by then.
    [[nodiscard]] virtual StoreReply watch(const std::string &key, StoreVersion known,
                                           Duration wait) = 0;

    /// \brief Requests a new lease that lapses \p length after its grant or last renewal.
    ///
    /// \p holder is shown to operators. Done: the new lease is the only one in `held`.
    [[nodiscard]] virtual LeaseReply grantLease(const std::string &holder, Duration length,
                                                Duration timeout) = 0;

    /// \brief Renews several leases in one call, each for its own length.
    [[nodiscard]] virtual LeaseReply renewLeases(const std::vector<LeaseId> &leases,
                                                 Duration timeout) = 0;

    /// \brief Reports which of \p leases are in force, without renewing them.
    [[nodiscard]] virtual LeaseReply queryLeases(const std::vector<LeaseId> &leases,
                                                 Duration timeout) = 0;

    [[nodiscard]] virtual LeaseReply releaseLease(LeaseId lease, Duration timeout) = 0;
};

} // namespace anvilmill
