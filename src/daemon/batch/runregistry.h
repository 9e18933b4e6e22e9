#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/run.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

/// \brief Who asked a holder for its runs, and how runs ended that may be asked for again.
///
/// An end whose message was lost with a connection is told again when its host claims the run.
///
/// Thread safety: one thread at a time.
class RunBook
{
public:
    /// Precondition: \p clock outlives the book.
    explicit RunBook(const Clock &clock);

    /// \brief The run on \p executor was asked for by \p host.
    void setOwner(const RunId &run, const std::string &host, const std::string &executor);

    /// \brief The run is not answered for here any more: its executor has another holder.
    void forget(const RunId &run, const std::string &executor) { m_owners.erase({run, executor}); }

    /// \brief The runs that \p host asked for, with their executors.
    [[nodiscard]] std::vector<std::pair<RunId, std::string>> runsOf(const std::string &host) const;

    /// \brief The hosts that have asked for runs which have not ended.
    [[nodiscard]] std::set<std::string> owners() const;

    /// \brief The host that asked for the run on \p executor; empty if none did.
    [[nodiscard]] std::string ownerOf(const RunId &run, const std::string &executor) const;

    /// \brief Records an end and forgets old ones.
    void ended(const RunEnd &end, const std::string &executor);

    /// \brief The end of the run that \p host has asked for on \p executor.
    ///
    /// A job that its client sends again, to another host, has runs of the same names: their ends
    /// must not be taken for each other's.
    [[nodiscard]] std::optional<RunEnd> endOf(const RunId &run, const std::string &host,
                                              const std::string &executor) const;

private:
    /// A run and its executor: attempts of one job on two hosts have runs of the same names.
    using Key = std::pair<RunId, std::string>;
    struct Ended
    {
        RunEnd end;
        std::string host;
    };

    const Clock &m_clock;
    std::map<Key, std::string> m_owners;
    std::map<Key, Ended> m_ends;
    std::deque<std::pair<MonotonicTime, Key>> m_order;
};

} // namespace anvilmill::daemon
