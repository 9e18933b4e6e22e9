#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/objectives/objective.h"
#include "anvilmill/verdict.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief Result of one request, as its caller observed it.
struct RequestEnd
{
    std::string_view service;
    /// Time from the receipt of the request to its final answer.
    Duration responseTime{};
    /// Verdict sent to the caller if the request failed; absent for a complete answer.
    std::optional<Verdict> failure;
    /// Short stable name of the reason of a failure, for example `queueFull`.
    std::string_view cause;
};

/// \brief Counts the requests of one entry host against the objectives of their services.
///
/// Cancelled and malformed requests must not be recorded, because they don't reflect the service
/// level. Memory is bounded: about 16 KB per service, with a limited number of services and of
/// causes per service; any beyond the limits are counted as `other`.
///
/// Thread safety: all methods may be called from any thread. State is kept in shards by service,
/// each under its own lock.
class ObjectiveRecorder
{
public:
    /// \brief \p fallback applies to services without an objective. \p clock must outlive the
    /// recorder.
    ObjectiveRecorder(const Clock &clock, ServiceObjective fallback);
    ~ObjectiveRecorder();
    ObjectiveRecorder(const ObjectiveRecorder &) = delete;
    ObjectiveRecorder &operator=(const ObjectiveRecorder &) = delete;

    /// \brief Replaces the objectives. The counts of a service are reset if its window changes.
    ///
    /// Precondition: objectives lie in (0, 1), latencies and windows are positive, and windows are
    /// at least as long as shortestWindow().
    void setObjectives(const std::vector<ServiceObjective> &objectives);

    void record(const RequestEnd &request);

    /// \brief The current counts; \p host identifies this entry host in reports.
    [[nodiscard]] HostObjectives snapshot(const std::string &host) const;

    /// \brief The shortest window allowed; times in messages, in whole milliseconds, are too coarse
    /// for shorter ones.
    [[nodiscard]] static Duration shortestWindow() noexcept;

private:
    class Service;
    struct Shard;

    [[nodiscard]] Shard &shardOf(std::string_view service) const;

    const Clock &m_clock;
    ServiceObjective m_fallback;
    MonotonicTime m_started;
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace anvilmill
