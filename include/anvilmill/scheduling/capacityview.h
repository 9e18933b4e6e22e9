#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/executorregistration.h"
#include "anvilmill/executor/resources.h"
#include "anvilmill/scheduling/rackturnover.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace anvilmill {

/// \brief Free capacity of one executor, as reported by its lease holder.
struct CapacityReport
{
    std::string executor;
    Resources freeCapacity;
    /// The host that sent the report and accepts starts.
    std::string holder;
};

/// \brief Shares of the capacity of all executors of a service.
struct CapacityShare
{
    double free = 0.0;
    double demand = 0.0;
};

/// \brief What a task requires of the executor that it is placed on.
struct PlacementQuery
{
    std::string service;
    Resources demand;
    /// Slower executors are left out; relative to an average executor.
    double minSpeed = 0.0;
    /// Executors to leave out, by index.
    const std::vector<std::size_t> *excluded = nullptr;
    /// Executors whose free capacity has grown within this time are left out.
    Duration minFreeFor{};
    /// Executors on other racks are left out, unless null.
    const std::string *requiredRack = nullptr;
    /// Executors on this rack are left out, unless null.
    const std::string *avoidedRack = nullptr;
};

/// \brief The executors of all data centres with the free capacity that their holders reported
/// last.
///
/// Capacity that was requested counts as used until the holder has answered, so that two tasks are
/// not placed on the same capacity. A report older than the staleness limit offers no capacity.
///
/// Thread safety: one thread at a time.
class CapacityView
{
public:
    /// Precondition: \p clock outlives the view. \p dataCentre is this host's own.
    CapacityView(const Clock &clock, std::string dataCentre, Duration staleAfter);

    /// \brief Adds or updates an executor; returns its index, which never changes.
    std::size_t update(const ExecutorRegistration &registration);

    /// \brief Call when the executor is no longer listed; its index stays valid.
    void remove(const std::string &executor);

    /// \brief Applies a report; unknown executors are ignored.
    void report(const CapacityReport &report);

    /// \brief Discards the reports of a holder that is silent; it offers no capacity until its next one.
    void discardReportsOf(const std::string &holder);

    /// \brief Counts \p demand as used until releaseReservation().
    void reserve(std::size_t executor, const Resources &demand);

    /// \brief Call when the holder has answered the request; from then on its reports include the
    /// demand.
    void releaseReservation(std::size_t executor, const Resources &demand);

    /// \brief Call when the holder refused a start; no free capacity is assumed until its next
    /// report.
    ///
    /// This applies to all executors that the holder reports, since other hosts request its
    /// capacity too. If the holder is this host, whose reports are never outdated, it applies to
    /// this executor alone.
    void refused(std::size_t executor);

    /// \brief Sets the data centres whose executors are neither offered nor counted as capacity.
    void setEvacuated(std::set<std::string> dataCentres);

    /// \brief Sets whether executors of the own data centre are preferred to faster ones elsewhere.
    void setOwnDataCentreFirst(bool isFirst) noexcept { m_isOwnDataCentreFirst = isFirst; }

    /// \brief Prefers executors that \p host reports to those of other hosts, unless they are slow.
    ///
    /// Meant for this host's own name: its reports are never outdated, and a start there needs no
    /// message. Among the others the executor with the most free capacity is chosen, regardless of
    /// its speed unless it is slow: many hosts that place tasks on reports a few milliseconds old
    /// would otherwise choose the same executor. An empty name removes the preference.
    void setPreferredHost(const std::string &host);

    /// \brief Sets the maximum age of usable reports, for the own data centre and for others.
    void setStaleAfter(Duration own, Duration others) noexcept
    {
        m_ownStaleAfter = own;
        m_remoteStaleAfter = others;
    }

    /// \brief Sets the estimated speed relative to an average executor.
    void setSpeed(std::size_t executor, double speed);

    /// \brief The best executor with enough free capacity for the demand.
    ///
    /// The fastest; among equally fast ones the own data centre's, then the tightest fit. Cold executors
    /// rank behind all others. See also setOwnDataCentreFirst() and setPreferredHost().
    [[nodiscard]] std::optional<std::size_t> bestFor(const PlacementQuery &query) const;

    /// \brief The speed of the fastest executor of \p service with a recent report; 0 if there is none.
    [[nodiscard]] double fastestSpeed(const std::string &service) const;

    /// \brief Cores times speed of all executors of \p service that are listed.
    ///
    /// Includes executors without a recent report: most of them have only changed their holder.
    [[nodiscard]] double capacityOf(const std::string &service) const;
    /// \brief Thousandths of a core that are free over all executors with a recent report.
    [[nodiscard]] std::int64_t freeMilliCores() const;
    /// \brief The share of the cores of \p service that is free, of all executors with a recent report.
    ///
    /// Also the share of \p milliCores. Precondition: \p service is served.
    [[nodiscard]] CapacityShare shareOf(const std::string &service, std::int64_t milliCores) const;
    [[nodiscard]] bool isServed(const std::string &service) const;

    /// \brief True if any executor has a recent report, whatever its free capacity.
    [[nodiscard]] bool hasRecentReport() const;

    /// \brief True if any executor could run \p demand if it were idle.
    [[nodiscard]] bool fitsAnywhere(const std::string &service, const Resources &demand) const;

    /// \brief The host that sent the last report on the executor; empty without a recent report.
    [[nodiscard]] std::string holderOf(std::size_t executor) const;

    [[nodiscard]] const std::string &idOf(std::size_t executor) const;

    /// \brief The executor's rack; empty if it isn't known.
    [[nodiscard]] const std::string &rackOf(std::size_t executor) const;

    /// \brief The speed set last, relative to an average executor.
    [[nodiscard]] double speedOf(std::size_t executor) const { return m_entries[executor].speed; }

    /// \brief True if an executor that was ever listed is on \p rack.
    [[nodiscard]] bool knowsRack(const std::string &rack) const { return m_racks.count(rack) > 0; }

    /// \brief True if an executor on \p rack with a recent report could run \p demand if it were idle.
    [[nodiscard]] bool isRackServed(const std::string &service, const std::string &rack,
                                    const Resources &demand) const;

    /// \brief The capacity that each rack has freed lately, by the reports.
    [[nodiscard]] const RackTurnover &rackTurnover() const noexcept { return m_rackTurnover; }

    [[nodiscard]] std::optional<std::size_t> find(const std::string &executor) const;
    [[nodiscard]] std::size_t listed() const noexcept { return m_listed; }

private:
    struct Entry
    {
        ExecutorRegistration registration;
        Resources freeCapacity;
        /// Thousandths of a core in use by the last report; unlike freeCapacity not changed by refused().
        std::int64_t reportedUse = 0;
        std::string holder;
        Resources reserved;
        MonotonicTime reported;
        /// When the free capacity grew last.
        MonotonicTime freeSince;
        double speed = 1.0;
        /// Executors of one class count as equally fast; 0 is average, higher is faster.
        int speedClass = 0;
        /// When a cold executor reaches its usual speed.
        MonotonicTime coldUntil;
        bool isListed = false;
        bool isEvacuated = false;
        bool hasReport = false;
    };

    /// Reports received earlier are outdated. Computed once for all entries, from one clock
    /// reading.
    struct ReportCutoffs
    {
        MonotonicTime own;
        MonotonicTime others;
    };

    void updateUnreserved(std::size_t executor);
    void recordUse(Entry &entry);
    void discardUse(Entry &entry);
    [[nodiscard]] std::size_t next(std::size_t executor) const noexcept;
    [[nodiscard]] static bool isUsable(const Entry &entry, const std::string &service);
    [[nodiscard]] ReportCutoffs reportCutoffs() const;
    [[nodiscard]] bool isRecent(const Entry &entry, const ReportCutoffs &cutoffs) const;
    [[nodiscard]] bool offers(const Entry &entry, const PlacementQuery &query,
                              const ReportCutoffs &cutoffs) const;
    [[nodiscard]] bool isBetter(const Entry &left, const Entry &right) const;
    [[nodiscard]] bool isCold(const Entry &entry) const;
    [[nodiscard]] bool isBetterAcrossHosts(const Entry &left, const Entry &right) const;
    [[nodiscard]] static bool isSlow(const Entry &entry);
    /// Thousandths of a core that are free and not reserved.
    [[nodiscard]] static std::int64_t unreservedMilliCores(const Entry &entry);

    const Clock &m_clock;
    std::string m_dataCentre;
    std::string m_preferredHost;
    /// Each host scans from a different index, so that not all choose the same of equal executors.
    std::size_t m_scanStart = 0;
    Duration m_ownStaleAfter;
    Duration m_remoteStaleAfter;
    std::vector<Entry> m_entries;
    /// Unreserved thousandths of a core of each entry, -1 if it can't be used: a scan for room reads
    /// little else, since most executors have too little under load.
    std::vector<std::int64_t> m_unreserved;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::size_t m_listed = 0;
    std::set<std::string> m_evacuated;
    std::unordered_set<std::string> m_racks;
    RackTurnover m_rackTurnover;
    bool m_isOwnDataCentreFirst = false;
};

} // namespace anvilmill
