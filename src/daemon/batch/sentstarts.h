#pragma once

#include "batch/openruns.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Starts that this host has sent to executors and that are neither answered nor ruled out.
///
/// Other hosts are told of them before they are sent: if this host loses power, nobody else knows them.
///
/// Thread safety: one thread at a time.
class SentStarts
{
public:
    using Number = std::int64_t;

    /// \brief Adds a start that is about to be sent; returns its number.
    Number add(const OpenRun &start);

    /// \brief Removes a start whose outcome is known, if it is there.
    void settle(const RunId &run, const std::string &executor);

    /// \brief The numbers of the starts that were settled since the last call.
    [[nodiscard]] std::vector<Number> takeSettled();

    [[nodiscard]] std::vector<OpenRun> onExecutor(const std::string &executor) const;
    [[nodiscard]] const std::map<Number, OpenRun> &all() const noexcept { return m_starts; }

private:
    std::map<Number, OpenRun> m_starts;
    /// By executor, then by run.
    std::map<std::pair<std::string, RunId>, Number> m_numbers;
    std::vector<Number> m_settled;
    Number m_last = 0;
};

/// \brief What other hosts have told this one of their sent starts, for the case that they are lost.
///
/// Thread safety: one thread at a time.
class WitnessedStarts
{
public:
    using Number = SentStarts::Number;

    void add(const std::string &host, Number number, const OpenRun &start);
    void settle(const std::string &host, Number number);

    /// \brief Forgets the starts of \p host, which sends the complete list next.
    void clear(const std::string &host) { m_starts.erase(host); }

    /// \brief Removes and returns the starts of a host that may be lost.
    [[nodiscard]] std::vector<OpenRun> take(const std::string &host);

    /// \brief The hosts that have told of starts which aren't settled.
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    std::map<std::string, std::map<Number, OpenRun>> m_starts;
};

} // namespace anvilmill::daemon
