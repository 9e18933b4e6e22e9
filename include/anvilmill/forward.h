#pragma once

namespace anvilmill {

class Admission;
class BodyDigest;
class ClaimLink;
class Clock;
class Dispatcher;
class HistoryChecker;
class HistorySink;
class HostList;
class JobTable;
class KeyValueStore;
class ManualClock;
class Placement;
class ObjectiveRecorder;
class RandomSource;
class SeededRandom;
class SubmissionKey;
class SystemClock;
class ViewGuard;
enum class ClaimOutcome;
enum class FailurePoint;
enum class Promise;
enum class Verdict;
struct AdmissionMessage;
struct AdmissionSettings;
struct AdmissionStatus;
struct ClaimDecision;
struct BurnRule;
struct Error;
struct ExecutorInfo;
struct FailureRow;
struct FieldChange;
struct HashSecret;
struct HistoryCheckerOptions;
struct HistorySummary;
struct HostIncarnation;
struct Inventory;
struct HostReply;
struct JobOutcome;
struct JobProgress;
struct JobSpec;
struct KeyFingerprint;
struct LeaseReply;
struct ListedHost;
struct Refusal;
struct RowChange;
struct RowKey;
struct ServiceRow;
struct Sheet;
struct SheetParse;
struct SheetPatch;
struct RequestEnd;
struct ServiceObjective;
struct SourcePosition;
struct Start;
struct StopRow;
struct StoreEntry;
struct StorePut;
struct StoreReply;
struct SubmissionRequest;
struct TaskRef;
struct TaskSpec;
struct TeamRow;
struct Ticket;
struct View;
struct Violation;
template <typename T>
class Result;

} // namespace anvilmill
