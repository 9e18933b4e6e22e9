#pragma once

#include "anvilmill/configuration/revision.h"
#include "anvilmill/configuration/sheetdiff.h"
#include "anvilmill/platform/keyvaluestore.h"
#include "anvilmill/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The key of the newest revision; watch it for changes.
[[nodiscard]] std::string configurationHeadKey();

/// \brief The newest revision as stored on the platform.
struct StoredHead
{
    /// Absent if no sheet has been accepted.
    std::optional<wire::configuration::Head> head;
    StoreVersion version = NoVersion;

    [[nodiscard]] RevisionId id() const;
};

/// \brief Parses the head in \p reply; an error if the value is malformed.
[[nodiscard]] Result<StoredHead> parseStoredHead(const StoreReply &reply);

/// \brief A sheet submitted by an operator.
struct SheetChange
{
    Sheet sheet;
    /// Unique to this change; a retry reuses it.
    std::string changeId;
    std::string author;
    WallTime at;
    /// The revision that the operator based the change on; a conflict if a newer one exists.
    std::optional<Revision> base;
    /// The highest revision known to be in force on any host. The new revision is higher, even if
    /// the platform has lost revisions.
    Revision highestInForce = 0;
};

/// \brief The outcome of RevisionStore::apply().
struct ApplyOutcome
{
    enum class State {
        Applied,
        /// The sheet in force is identical.
        Unchanged,
        /// Another change was accepted first; this one was not written.
        Conflict,
        /// The change was not written, for instance because the platform did not respond.
        NotApplied,
        /// The change was sent, but its outcome could not be determined. Applying it again with
        /// the same change id is safe.
        Unknown,
    };

    State state = State::NotApplied;
    RevisionId id;
    /// Applied: the changes made. Conflict: the changes that this sheet would make to the accepted
    /// one.
    std::vector<RowChange> changes;
    std::string reason;
    /// Number of revisions that were in force but missing from the platform.
    Revision lostRevisions = 0;
};

struct RevisionStoreOptions
{
    Duration callTimeout = std::chrono::seconds(2);
    /// Attempts to write a value and to resolve a write whose reply was lost.
    int resolveAttempts = 5;
    /// Pause between two attempts.
    Duration resolvePause = std::chrono::milliseconds(200);
    /// Size of the deltas in the head, in bytes, above which the next change writes a checkpoint.
    std::size_t headDeltaBytes = 8192;
    /// Number of changes kept in the history key.
    std::size_t historyLength = 256;
};

/// \brief Reads and writes revisions in the platform's key-value service.
///
/// Each change writes one key, the head, by compare-and-swap. The head contains the latest deltas.
/// Whole sheets are stored in two checkpoint keys, written alternately, each for a revision that
/// is already accepted, so that a reader needs the head and one checkpoint.
///
/// Thread safety: one thread at a time; any number of processes may share the keys.
class RevisionStore
{
public:
    /// \p store must outlive this object. \p pause is called between attempts.
    RevisionStore(KeyValueStore &store, std::function<void(Duration)> pause,
                  const RevisionStoreOptions &options = {});

    [[nodiscard]] Result<StoredHead> readHead();

    /// \brief Reads the whole configuration of the newest revision.
    [[nodiscard]] Result<Configuration> readConfiguration();

    /// \brief Makes \p change the newest revision, at most once, or returns the reason for the
    /// failure.
    [[nodiscard]] ApplyOutcome apply(const SheetChange &change);

    /// \brief The latest changes, oldest first.
    [[nodiscard]] Result<std::vector<wire::configuration::ChangeRecord>> history();

    /// \brief Writes the report of one data centre.
    [[nodiscard]] Result<bool> writeReport(const wire::configuration::InForceReport &report);

    /// \brief The last report of \p dataCentre; empty if there is none.
    [[nodiscard]] Result<std::optional<wire::configuration::InForceReport>>
    readReport(const std::string &dataCentre);

private:
    struct PutResult
    {
        StoreReply reply;
        bool mayHaveTakenEffect = false;
    };

    [[nodiscard]] PutResult putWithRetries(const StorePut &put);
    [[nodiscard]] StoreReply get(const std::string &key);
    [[nodiscard]] Result<Configuration> configurationOf(const StoredHead &stored);
    [[nodiscard]] std::optional<Error> archiveChanges(const wire::configuration::Head &head);
    [[nodiscard]] std::optional<Error> writeCheckpoint(wire::configuration::Head &head,
                                                       StoreVersion headVersion,
                                                       const Configuration &current);
    [[nodiscard]] ApplyOutcome write(const SheetChange &change, const StoredHead &stored,
                                     const Configuration &current);
    [[nodiscard]] ApplyOutcome writeHead(const SheetChange &change, const StorePut &put,
                                         const RevisionId &next);
    [[nodiscard]] ApplyOutcome resolveConflict(const SheetChange &change);

    KeyValueStore &m_store;
    std::function<void(Duration)> m_pause;
    RevisionStoreOptions m_options;
};

} // namespace anvilmill
