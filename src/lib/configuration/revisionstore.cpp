#include "anvilmill/configuration/revisionstore.h"

#include "anvilmill/platform/putresolved.h"
#include "cellformat.h"

#include <algorithm>

namespace anvilmill {

namespace {

using wire::configuration::ChangeRecord;
using wire::configuration::Head;
using wire::configuration::History;
using wire::configuration::InForceReport;

constexpr const char *HeadKey = "configuration/head";
constexpr const char *HistoryKey = "configuration/history";
constexpr const char *CheckpointPrefix = "configuration/checkpoint/";
constexpr const char *ReportPrefix = "configuration/in-force/";
constexpr int CheckpointSlots = 2;
constexpr std::size_t MaxHeadChanges = 16;
constexpr int MaxReadAttempts = 3;

std::string checkpointKey(std::int64_t slot)
{
    return CheckpointPrefix + std::to_string(slot);
}

Error failure(const std::string &key, const StoreReply &reply)
{
    return {"the platform did not answer for " + key + ": " + std::string(asString(reply.outcome))
                    + (reply.reason.empty() ? "" : ", " + reply.reason),
            {}};
}

template <typename T>
Result<T> parseAs(const std::string &key, const std::string &text)
{
    try {
        return nlohmann::json::parse(text).get<T>();
    } catch (const std::exception &error) {
        return Error{"the value of " + key + " is malformed: " + error.what(), {}};
    }
}

std::string serialize(const nlohmann::json &value)
{
    return value.dump();
}

std::string summaryOf(const std::vector<RowChange> &changes)
{
    std::size_t added = 0;
    std::size_t removed = 0;
    for (const RowChange &change : changes) {
        added += change.kind == RowChange::Kind::Added ? 1 : 0;
        removed += change.kind == RowChange::Kind::Removed ? 1 : 0;
    }
    return "+" + std::to_string(added) + " -" + std::to_string(removed) + " ~"
           + std::to_string(changes.size() - added - removed);
}

const ChangeRecord *findChange(const Head &head, const std::string &changeId)
{
    const auto found =
            std::find_if(head.changes.begin(), head.changes.end(),
                         [&](const ChangeRecord &each) { return each.changeId == changeId; });
    return found == head.changes.end() ? nullptr : &*found;
}

ApplyOutcome alreadyApplied(const ChangeRecord &record)
{
    ApplyOutcome outcome;
    outcome.state = ApplyOutcome::State::Applied;
    outcome.id = {static_cast<Revision>(record.revision), record.digest};
    outcome.reason = "the change was accepted earlier";
    return outcome;
}

ApplyOutcome notApplied(const Error &error)
{
    ApplyOutcome outcome;
    outcome.reason = error.reason;
    return outcome;
}

/// The change id of a value that is determined by an accepted revision alone.
std::string writeId(const std::string &what, const Head &head)
{
    return what + "-" + std::to_string(head.revision) + "-" + head.digest;
}

/// Appends the changes in \p newer that follow those in \p history.
void mergeChanges(std::vector<ChangeRecord> &history, const std::vector<ChangeRecord> &newer)
{
    for (const ChangeRecord &record : newer) {
        if (history.empty() || history.back().revision < record.revision)
            history.push_back(record);
    }
}

template <typename T>
void keepLast(std::vector<T> &all, std::size_t count)
{
    if (all.size() > count)
        all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(count));
}

/// Drops the oldest deltas that precede the checkpoint while all deltas exceed \p maxBytes.
void trimDeltas(Head &head, std::size_t maxBytes)
{
    std::size_t bytes = 0;
    for (const Delta &delta : head.deltas)
        bytes += sizeOf(delta);
    while (bytes > maxBytes && !head.deltas.empty()
           && head.deltas.front().revision <= head.checkpointRevision) {
        bytes -= sizeOf(head.deltas.front());
        head.deltas.erase(head.deltas.begin());
    }
}

std::size_t bytesSinceCheckpoint(const Head &head)
{
    std::size_t bytes = 0;
    for (const Delta &delta : head.deltas) {
        if (delta.revision > head.checkpointRevision)
            bytes += sizeOf(delta);
    }
    return bytes;
}

ChangeRecord recordOf(const SheetChange &change, const RevisionId &id,
                      const std::vector<RowChange> &changes)
{
    ChangeRecord record;
    record.revision = static_cast<std::int64_t>(id.revision);
    record.digest = id.digest;
    record.changeId = change.changeId;
    record.author = change.author;
    record.at = cellText(change.at);
    record.summary = summaryOf(changes);
    return record;
}

} // namespace

std::string configurationHeadKey()
{
    return HeadKey;
}

RevisionId StoredHead::id() const
{
    if (!head)
        return Configuration::initial().id;
    return {static_cast<Revision>(head->revision), head->digest};
}

Result<StoredHead> parseStoredHead(const StoreReply &reply)
{
    if (!reply.entry)
        return StoredHead();
    Result<Head> head = parseAs<Head>(HeadKey, reply.entry->value);
    if (!head)
        return head.error();
    return StoredHead{std::move(*head), reply.entry->version};
}

RevisionStore::RevisionStore(KeyValueStore &store, std::function<void(Duration)> pause,
                             const RevisionStoreOptions &options)
    : m_store(store)
    , m_pause(std::move(pause))
    , m_options(options)
{
}

StoreReply RevisionStore::get(const std::string &key)
{
    return m_store.get(key, m_options.callTimeout);
}

Result<StoredHead> RevisionStore::readHead()
{
    const StoreReply reply = get(HeadKey);
    if (!reply.isDone())
        return failure(HeadKey, reply);
    return parseStoredHead(reply);
}

Result<Configuration> RevisionStore::readConfiguration()
{
    Error last;
    for (int attempt = 0; attempt < MaxReadAttempts; ++attempt) {
        const Result<StoredHead> stored = readHead();
        if (!stored)
            return stored.error();
        Result<Configuration> configuration = configurationOf(*stored);
        if (configuration)
            return configuration;
        // A concurrent change may have replaced the checkpoint: retry from the head.
        last = configuration.error();
    }
    return last;
}

Result<Configuration> RevisionStore::configurationOf(const StoredHead &stored)
{
    Configuration current = Configuration::initial();
    if (!stored.head)
        return current;
    const Head &head = *stored.head;
    if (head.checkpointRevision > 0) {
        const std::string key = checkpointKey(head.checkpointSlot);
        const StoreReply reply = get(key);
        if (!reply.isDone() || !reply.entry)
            return failure(key, reply);
        const Result<WholeConfiguration> whole =
                parseAs<WholeConfiguration>(key, reply.entry->value);
        if (!whole)
            return whole.error();
        Result<Configuration> checkpoint = fromWhole(*whole);
        if (!checkpoint)
            return checkpoint.error();
        current = std::move(*checkpoint);
    }
    for (const Delta &delta : head.deltas) {
        if (delta.revision <= head.checkpointRevision)
            continue;
        Result<Configuration> next = applied(current, delta);
        if (!next)
            return next.error();
        current = std::move(*next);
    }
    if (current.id != stored.id())
        return Error{"the head and its checkpoint do not match", {}};
    return current;
}

std::optional<Error> RevisionStore::archiveChanges(const Head &head)
{
    const StoreReply reply = get(HistoryKey);
    if (!reply.isDone())
        return failure(HistoryKey, reply);
    History history;
    if (reply.entry) {
        Result<History> parsed = parseAs<History>(HistoryKey, reply.entry->value);
        if (!parsed)
            return parsed.error();
        history = std::move(*parsed);
    }
    mergeChanges(history.changes, head.changes);
    keepLast(history.changes, m_options.historyLength);
    const StoreVersion version = reply.entry ? reply.entry->version : NoVersion;
    const StorePut put = {HistoryKey, serialize(history), version, writeId("history", head)};
    const StoreReply written = putWithRetries(put).reply;
    // A conflict means that another operator has already archived the same accepted changes.
    if (written.isDone() || written.outcome == CallOutcome::Conflict)
        return std::nullopt;
    return failure(HistoryKey, written);
}

std::optional<Error> RevisionStore::writeCheckpoint(Head &head, StoreVersion headVersion,
                                                    const Configuration &current)
{
    const std::int64_t slot = (head.checkpointSlot + 1) % CheckpointSlots;
    const std::string key = checkpointKey(slot);
    const StoreReply reply = get(key);
    if (!reply.isDone())
        return failure(key, reply);
    // A concurrent writer updates the head before it writes this checkpoint key again. If the head
    // is unchanged after the checkpoint was read, any later write to the checkpoint makes the put
    // below fail.
    const StoreReply rereadHead = get(HeadKey);
    if (!rereadHead.isDone())
        return failure(HeadKey, rereadHead);
    const bool isHeadChanged = !rereadHead.entry || rereadHead.entry->version != headVersion;
    const std::string value = serialize(asWhole(current));
    const bool isWritten = reply.entry && reply.entry->value == value;
    if (!isHeadChanged && !isWritten) {
        const StoreVersion version = reply.entry ? reply.entry->version : NoVersion;
        const StorePut put = {key, value, version, writeId("checkpoint", head)};
        const StoreReply written = putWithRetries(put).reply;
        const bool isSame = written.entry && written.entry->value == value;
        if (!written.isDone() && !isSame)
            return failure(key, written);
    }
    head.checkpointRevision = head.revision;
    head.checkpointSlot = slot;
    return std::nullopt;
}

ApplyOutcome RevisionStore::apply(const SheetChange &change)
{
    const Result<StoredHead> stored = readHead();
    if (!stored)
        return notApplied(stored.error());
    if (stored->head) {
        if (const ChangeRecord *record = findChange(*stored->head, change.changeId))
            return alreadyApplied(*record);
    }
    const Result<Configuration> current = configurationOf(*stored);
    if (!current)
        return notApplied(current.error());
    if (change.base && *change.base != current->id.revision)
        return resolveConflict(change);
    const bool hasLostRevisions = change.highestInForce > current->id.revision;
    if (current->sheet == change.sheet && stored->head && !hasLostRevisions) {
        ApplyOutcome outcome;
        outcome.state = ApplyOutcome::State::Unchanged;
        outcome.id = current->id;
        return outcome;
    }
    return write(change, *stored, *current);
}

ApplyOutcome RevisionStore::write(const SheetChange &change, const StoredHead &stored,
                                  const Configuration &current)
{
    Head head = stored.head ? *stored.head : Head();
    if (stored.head) {
        if (const auto error = archiveChanges(head))
            return notApplied(*error);
        if (bytesSinceCheckpoint(head) > m_options.headDeltaBytes) {
            if (const auto error = writeCheckpoint(head, stored.version, current))
                return notApplied(*error);
        }
    }
    const Revision revision = std::max(current.id.revision, change.highestInForce) + 1;
    const Configuration next = Configuration::of(revision, change.sheet);
    const std::vector<RowChange> changes = diffSheets(current.sheet, next.sheet);
    head.revision = static_cast<std::int64_t>(revision);
    head.digest = next.id.digest;
    head.deltas.push_back(deltaBetween(current, next));
    head.changes.push_back(recordOf(change, next.id, changes));
    keepLast(head.changes, MaxHeadChanges);
    trimDeltas(head, m_options.headDeltaBytes);
    const StorePut put = {HeadKey, serialize(head), stored.version, change.changeId};
    if (put.value.size() > MaxStoreValueSize)
        return notApplied(
                {"the change takes " + std::to_string(put.value.size())
                         + " bytes, more than a platform key can store; apply it in parts",
                 {}});
    ApplyOutcome outcome = writeHead(change, put, next.id);
    if (outcome.state == ApplyOutcome::State::Applied) {
        outcome.changes = changes;
        if (change.highestInForce > current.id.revision)
            outcome.lostRevisions = change.highestInForce - current.id.revision;
    }
    return outcome;
}

RevisionStore::PutResult RevisionStore::putWithRetries(const StorePut &put)
{
    PutResult result;
    for (int attempt = 0; attempt < m_options.resolveAttempts; ++attempt) {
        if (attempt > 0)
            m_pause(m_options.resolvePause);
        // Resent only if the key was read back unchanged; compare-and-swap accepts at most one of
        // the writes.
        result.reply = putResolved(m_store, put, m_options.callTimeout);
        if (result.reply.outcome == CallOutcome::Unknown)
            result.mayHaveTakenEffect = true;
        if (result.reply.isDone() || result.reply.outcome == CallOutcome::Conflict)
            break;
    }
    return result;
}

ApplyOutcome RevisionStore::writeHead(const SheetChange &change, const StorePut &put,
                                      const RevisionId &next)
{
    const PutResult result = putWithRetries(put);
    if (result.reply.outcome == CallOutcome::Conflict)
        return resolveConflict(change);
    ApplyOutcome outcome;
    outcome.id = next;
    outcome.reason = result.reply.reason;
    if (result.reply.isDone())
        outcome.state = ApplyOutcome::State::Applied;
    else if (result.mayHaveTakenEffect)
        outcome.state = ApplyOutcome::State::Unknown;
    return outcome;
}

ApplyOutcome RevisionStore::resolveConflict(const SheetChange &change)
{
    ApplyOutcome outcome;
    outcome.state = ApplyOutcome::State::Unknown;
    const Result<StoredHead> stored = readHead();
    if (!stored) {
        outcome.reason = stored.error().reason;
        return outcome;
    }
    if (stored->head) {
        if (const ChangeRecord *record = findChange(*stored->head, change.changeId))
            return alreadyApplied(*record);
    }
    outcome.state = ApplyOutcome::State::Conflict;
    outcome.id = stored->id();
    outcome.reason = "revision " + std::to_string(outcome.id.revision) + " was accepted first";
    if (const Result<Configuration> current = configurationOf(*stored))
        outcome.changes = diffSheets(current->sheet, change.sheet);
    return outcome;
}

Result<std::vector<ChangeRecord>> RevisionStore::history()
{
    const Result<StoredHead> stored = readHead();
    if (!stored)
        return stored.error();
    const StoreReply reply = get(HistoryKey);
    if (!reply.isDone())
        return failure(HistoryKey, reply);
    History history;
    if (reply.entry) {
        Result<History> parsed = parseAs<History>(HistoryKey, reply.entry->value);
        if (!parsed)
            return parsed.error();
        history = std::move(*parsed);
    }
    if (stored->head)
        mergeChanges(history.changes, stored->head->changes);
    return history.changes;
}

Result<bool> RevisionStore::writeReport(const InForceReport &report)
{
    const std::string key = ReportPrefix + report.dataCentre;
    const StoreReply reply = get(key);
    if (!reply.isDone())
        return failure(key, reply);
    const std::string value = serialize(report);
    if (reply.entry && reply.entry->value == value)
        return true;
    const StoreVersion version = reply.entry ? reply.entry->version : NoVersion;
    const std::string changeId = "in-force-" + report.reporter + "-" + std::to_string(version);
    const StoreReply written = m_store.put({key, value, version, changeId}, m_options.callTimeout);
    if (!written.isDone())
        return failure(key, written);
    return true;
}

Result<std::optional<InForceReport>> RevisionStore::readReport(const std::string &dataCentre)
{
    const std::string key = ReportPrefix + dataCentre;
    const StoreReply reply = get(key);
    if (!reply.isDone())
        return failure(key, reply);
    if (!reply.entry)
        return std::optional<InForceReport>();
    Result<InForceReport> report = parseAs<InForceReport>(key, reply.entry->value);
    if (!report)
        return report.error();
    return std::optional<InForceReport>(std::move(*report));
}

} // namespace anvilmill
