#pragma once

#include "anvilmill/clock.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief Scheduling priority of a service's requests under contention.
enum class Urgency { Normal, Urgent };

/// \brief The kind of component that a planned stop takes out of service.
enum class StopKind { EntryHost, Worker, Service };

/// \brief The configured limits and objective of a service.
struct ServiceRow
{
    std::string name;
    /// Maximum number of tasks running concurrently across the whole system.
    int size = 0;
    Urgency urgency = Urgency::Normal;
    /// Target percentage of requests that complete within the latency threshold.
    double objective = 99.0;
    Duration latency = std::chrono::seconds(1);
    /// Maximum number of tasks queued on one entry host.
    int queueLimit = 10000;
    /// Maximum time that a task may be queued before its request is rejected.
    Duration queueWait = std::chrono::seconds(30);

    [[nodiscard]] bool operator==(const ServiceRow &other) const noexcept;
};

/// \brief A planned stop.
struct StopRow
{
    /// `dataCentre/host` for hosts, the service's name for services.
    std::string name;
    StopKind role = StopKind::Worker;
    WallTime at;
    /// Maximum time for work in flight to complete.
    Duration grace = std::chrono::seconds(30);

    [[nodiscard]] bool operator==(const StopRow &other) const noexcept;
};

/// \brief A team's quota and weight.
struct TeamRow
{
    std::string name;
    /// Maximum number of the team's tasks running concurrently across the whole system.
    int quota = 0;
    /// Relative share of contended capacity among the teams.
    int weight = 1;

    [[nodiscard]] bool operator==(const TeamRow &other) const noexcept;
};

/// \brief The configuration that operators write. Rows are sorted by name, and names are unique
/// within a kind.
struct Sheet
{
    std::vector<ServiceRow> services;
    std::vector<StopRow> stops;
    std::vector<TeamRow> teams;

    [[nodiscard]] bool operator==(const Sheet &other) const noexcept;

    /// \brief The row of \p service, or nullptr. Valid until the sheet changes.
    [[nodiscard]] const ServiceRow *findService(const std::string &service) const noexcept;
    /// \brief The row of \p team, or nullptr. Valid until the sheet changes.
    [[nodiscard]] const TeamRow *findTeam(const std::string &team) const noexcept;
};

/// \brief Serializes \p sheet in canonical form: all columns, sorted rows, normalised units.
///
/// Parsing the text yields an equal sheet; equal sheets have equal texts.
[[nodiscard]] std::string canonicalText(const Sheet &sheet);

/// \brief Identifies the contents of a sheet: 16 hexadecimal digits of SHA-256 over its
/// canonical text.
[[nodiscard]] std::string digestOf(const Sheet &sheet);

/// \brief The kinds of rows in a sheet: `service`, `stop` and `team`.
enum class RowKind { Service, Stop, Team };

[[nodiscard]] std::string asString(RowKind kind);

} // namespace anvilmill
