#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/executorregistration.h"
#include "anvilmill/executor/resources.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief Room of one executor, as its holder sees it.
struct CapacityReport
{
    std::string executor;
    Resources room;
    /// The host that says so, and takes starts.
    std::string holder;
};

/// \brief Where a task may be placed, best first by speed.
struct PlacementQuery
{
    std::string service;
    Resources demand;
    /// Executors to leave out, by index.
    const std::vector<std::size_t> *excluded = nullptr;
};

/// \brief The executors of all data centres with the room that their holders reported last.
///
/// Room that was asked for and not answered yet counts as taken, so that one report does not
/// draw two tasks. A report that is older than the staleness limit offers no room.
///
/// Thread safety: one thread at a time.
class CapacityView
{
public:
    /// Precondition: \p clock outlives the view. \p dataCentre is this host's own.
    CapacityView(const Clock &clock, std::string dataCentre, Duration staleAfter);

    /// \brief Adds an executor or takes what changed; returns its index, which stays.
    std::size_t update(const ExecutorRegistration &registration);

    /// \brief The executor has left the list; its index stays.
    void remove(const std::string &executor);

    /// \brief Takes a report; unknown executors are left out.
    void report(const CapacityReport &report);

    /// \brief Counts \p demand as taken until answered().
    void asked(std::size_t executor, const Resources &demand);

    /// \brief The holder has answered; its reports now count the demand themselves.
    void answered(std::size_t executor, const Resources &demand);

    /// \brief The holder had no room: nothing is free there until its next report, at none of the
    /// executors that it reports, since others have been asking it too. Of the own host's, which are
    /// never old, only this executor.
    void refused(std::size_t executor);

    /// \brief Whether executors of the own data centre go before faster ones elsewhere.
    void setOwnDataCentreFirst(bool isFirst) noexcept { m_isOwnFirst = isFirst; }

    /// \brief Has executors that \p host reports go before those of others, unless they are slow.
    ///
    /// For this host's own name: its reports are never old, and a start there takes no message.
    /// Of the others the one with most room is chosen, however fast unless slow: where many hosts
    /// place on reports of some milliseconds ago, they would otherwise choose the same executor at a
    /// time. Empty: no such preference.
    void setPreferredHost(const std::string &host);

    /// \brief How old a report may be to be counted on: of the own data centre's executors, of others.
    void setStaleAfter(Duration own, Duration others) noexcept
    {
        m_ownStaleAfter = own;
        m_othersStaleAfter = others;
    }

    /// \brief Learned speed relative to an average executor.
    void setSpeed(std::size_t executor, double speed);

    /// \brief The best executor with room for the demand.
    ///
    /// The fastest; among equally fast ones the own data centre's, then the tightest fit. See also
    /// setOwnDataCentreFirst() and setPreferredHost().
    [[nodiscard]] std::optional<std::size_t> bestFor(const PlacementQuery &query) const;

    /// \brief Cores times speed of all executors of \p service that are listed.
    ///
    /// Executors without a recent report count too: most have only changed their holder.
    [[nodiscard]] double capacityOf(const std::string &service) const;
    /// \brief Thousandths of a core that are free over all executors with a recent report.
    [[nodiscard]] std::int64_t freeMilliCores() const;
    [[nodiscard]] bool isServed(const std::string &service) const;

    /// \brief True if any executor has a recent report, whether it has room or not.
    [[nodiscard]] bool hasRecentReport() const;

    /// \brief True if any executor could run \p demand if it were idle.
    [[nodiscard]] bool fitsAnywhere(const std::string &service, const Resources &demand) const;

    /// \brief The host that reported the executor's room last; empty without a recent report.
    [[nodiscard]] std::string holderOf(std::size_t executor) const;

    [[nodiscard]] const std::string &idOf(std::size_t executor) const;
    [[nodiscard]] std::optional<std::size_t> find(const std::string &executor) const;
    [[nodiscard]] std::size_t listed() const noexcept { return m_listed; }

private:
    struct Entry
    {
        ExecutorRegistration registration;
        Resources room;
        std::string holder;
        Resources asked;
        MonotonicTime reported;
        double speed = 1.0;
        /// Executors of one class count as equally fast; 0 is average, higher is faster.
        int speedClass = 0;
        bool isListed = false;
        bool hasReport = false;
    };

    /// Reports from before are not counted on: one reading of the clock for all entries.
    struct Oldest
    {
        MonotonicTime own;
        MonotonicTime others;
    };

    [[nodiscard]] static bool isUsable(const Entry &entry, const std::string &service);
    [[nodiscard]] Oldest oldest() const;
    [[nodiscard]] bool isRecent(const Entry &entry, const Oldest &oldest) const;
    [[nodiscard]] bool offers(const Entry &entry, const PlacementQuery &query,
                              const Oldest &oldest) const;
    [[nodiscard]] bool isBetter(const Entry &left, const Entry &right) const;
    [[nodiscard]] bool isBetterToAsk(const Entry &left, const Entry &right) const;
    [[nodiscard]] static bool isSlow(const Entry &entry);
    /// Thousandths of a core that are free and not asked for.
    [[nodiscard]] static std::int64_t freeCores(const Entry &entry);

    const Clock &m_clock;
    std::string m_dataCentre;
    std::string m_firstHost;
    /// Each host scans from elsewhere, so that equal executors are not chosen by all at a time.
    std::size_t m_scanStart = 0;
    Duration m_ownStaleAfter;
    Duration m_othersStaleAfter;
    std::vector<Entry> m_entries;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::size_t m_listed = 0;
    bool m_isOwnFirst = false;
};

} // namespace anvilmill
