#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief Number of a write to one key. Grows with each write; NoVersion stands for "no such key".
using StoreVersion = std::uint64_t;
constexpr StoreVersion NoVersion = 0;

/// \brief Number of a lease in the platform's key-value service. Never given out twice.
using LeaseId = std::uint64_t;

/// \brief Largest value that the platform's key-value service takes, in bytes.
constexpr std::size_t MaxStoreValueSize = 1U << 20U;

/// \brief How a call to the platform's key-value service ended.
enum class CallOutcome {
    /// The call took effect, or its question was answered.
    Done,
    /// A put found another version than expected; nothing was written.
    Conflict,
    /// A watch ended without a change.
    Unchanged,
    /// The call was not sent, or the service refused it: it took no effect.
    Unreachable,
    /// The call was sent and its answer lost: it may have taken effect, or may yet.
    Unknown,
    /// The changes asked for are no longer kept: read everything again.
    HistoryGone,
    /// The lease has ended or was never granted.
    NoLease,
};

/// \brief The spelling used in logs: `done`, `conflict`, `unchanged`, `unreachable`, `unknown`,
/// `historyGone`, `noLease`.
[[nodiscard]] std::string_view asString(CallOutcome outcome) noexcept;

/// \brief A key with its value, as it was written last.
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreVersion version = NoVersion;
    /// The change id of the write that made this version.
    std::string changeId;
};

/// \brief A write that takes effect only if the key still has the expected version.
struct StorePut
{
    std::string key;
    std::string value;
    /// NoVersion if the key must not exist yet.
    StoreVersion expected = NoVersion;
    /// Unique to this change. Identifies the write when its answer was lost.
    std::string changeId;
};

/// \brief Answer to get(), put() and watch().
struct StoreReply
{
    CallOutcome outcome = CallOutcome::Unreachable;
    /// Done: the entry read or written, absent if there is none. Conflict: the current entry.
    std::optional<StoreEntry> entry;
    /// Why the call failed; empty if it didn't.
    std::string reason;

    [[nodiscard]] bool isDone() const noexcept { return outcome == CallOutcome::Done; }
};

/// \brief Answer to calls about leases.
struct LeaseReply
{
    CallOutcome outcome = CallOutcome::Unreachable;
    /// Leases asked about that are in force.
    std::vector<LeaseId> held;
    /// Leases asked about that have lapsed, were released or are not known. A lease that has
    /// lapsed is never in force again.
    std::vector<LeaseId> lapsed;
    std::string reason;

    [[nodiscard]] bool isDone() const noexcept { return outcome == CallOutcome::Done; }
};

/// \brief The platform's key-value service: compare-and-swap, leases and watches.
///
/// Each call blocks until it is answered or \p timeout has passed, and counts against the
/// service's limits, a waiting watch as one call. No call is repeated by the implementation.
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
    /// After Unknown the caller reads the key back and compares the change id; see putResolved().
    /// Precondition: the value has at most MaxStoreValueSize bytes.
    [[nodiscard]] virtual StoreReply put(const StorePut &change, Duration timeout) = 0;

    /// \brief Waits until \p key has another version than \p known, at most for \p wait.
    ///
    /// Unchanged if it has not changed by then.
    [[nodiscard]] virtual StoreReply watch(const std::string &key, StoreVersion known,
                                           Duration wait) = 0;

    /// \brief Takes a new lease that lapses \p length after its grant or last renewal.
    ///
    /// \p holder is shown to operators. Done: the new lease is the only one in `held`.
    [[nodiscard]] virtual LeaseReply grantLease(const std::string &holder, Duration length,
                                                Duration timeout) = 0;

    /// \brief Renews several leases at once, each for its own length.
    [[nodiscard]] virtual LeaseReply renewLeases(const std::vector<LeaseId> &leases,
                                                 Duration timeout) = 0;

    /// \brief Says which of \p leases are in force, without renewing them.
    [[nodiscard]] virtual LeaseReply queryLeases(const std::vector<LeaseId> &leases,
                                                 Duration timeout) = 0;

    [[nodiscard]] virtual LeaseReply releaseLease(LeaseId lease, Duration timeout) = 0;
};

} // namespace anvilmill
