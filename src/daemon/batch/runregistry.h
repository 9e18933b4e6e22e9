#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/run.h"
#include "batch/runowner.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

/// \brief The hosts that requested runs from this holder, and the ends of recent runs.
///
/// An end whose message was lost with a connection is sent again when its host claims the run.
///
/// Thread safety: one thread at a time.
class RunRegistry
{
public:
    /// Precondition: \p clock outlives the registry.
    explicit RunRegistry(const Clock &clock);

    /// \brief Records that \p owner requested the run on \p executor.
    void setOwner(const RunId &run, const RunOwner &owner, const std::string &executor);

    /// \brief Removes a run whose executor has another holder by now.
    void remove(const RunId &run, const std::string &executor) { m_owners.erase({run, executor}); }

    /// \brief The runs that \p host requested, with their executors.
    [[nodiscard]] std::vector<std::pair<RunId, std::string>> runsOf(const std::string &host) const;

    /// \brief The hosts whose requested runs have not all ended.
    [[nodiscard]] std::set<std::string> owners() const;

    /// \brief The owner of the run on \p executor; without a host if there is none.
    [[nodiscard]] RunOwner ownerOf(const RunId &run, const std::string &executor) const;

    /// \brief Records an end and discards old ones.
    void ended(const RunEnd &end, const std::string &executor);

    /// \brief The end of the run that \p owner requested on \p executor.
    ///
    /// If a client retries a job, both submissions have runs with the same ids, whose ends must be
    /// kept apart.
    [[nodiscard]] std::optional<RunEnd> endOf(const RunId &run, const RunOwner &owner,
                                              const std::string &executor) const;

private:
    /// A run and its executor: the runs of two submissions of a job to different hosts have equal
    /// ids.
    using Key = std::pair<RunId, std::string>;
    struct Ended
    {
        RunEnd end;
        RunOwner owner;
    };

    const Clock &m_clock;
    std::map<Key, RunOwner> m_owners;
    std::map<Key, Ended> m_ends;
    std::deque<std::pair<MonotonicTime, Key>> m_order;
};

} // namespace anvilmill::daemon
