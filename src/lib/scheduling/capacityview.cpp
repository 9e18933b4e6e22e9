#include "anvilmill/scheduling/capacityview.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

/// Speeds within this factor of each other count as equal: the run times of one kind of task vary
/// by more.
constexpr double SpeedStep = 1.15;
/// Tasks take 1.5 times as long as on an average executor, which exceeds most targets.
constexpr int SlowClass = -3;

int speedClassOf(double speed)
{
    return static_cast<int>(std::lround(std::log(speed) / std::log(SpeedStep)));
}

} // namespace

CapacityView::CapacityView(const Clock &clock, std::string dataCentre, Duration staleAfter)
    : m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
    , m_ownStaleAfter(staleAfter)
    , m_remoteStaleAfter(staleAfter)
    , m_rackTurnover(clock)
{
}

void CapacityView::setPreferredHost(const std::string &host)
{
    m_preferredHost = host;
    m_scanStart = std::hash<std::string>()(host);
}

std::size_t CapacityView::update(const ExecutorRegistration &registration)
{
    const auto [index, isNew] = m_indexes.emplace(registration.id, m_entries.size());
    if (isNew)
        m_entries.emplace_back();
    Entry &entry = m_entries[index->second];
    m_listed += entry.isListed ? 0 : 1;
    entry.isListed = true;
    if (entry.registration.rack != registration.rack)
        discardUse(entry);
    entry.registration = registration;
    entry.isEvacuated = m_evacuated.count(registration.dataCentre) > 0;
    if (registration.isCold())
        entry.coldUntil = m_clock.now() + registration.coldRemaining;
    else
        entry.coldUntil = {};
    if (!registration.rack.empty())
        m_racks.insert(registration.rack);
    updateUnreserved(index->second);
    return index->second;
}

void CapacityView::setEvacuated(std::set<std::string> dataCentres)
{
    m_evacuated = std::move(dataCentres);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_entries[i].isEvacuated = m_evacuated.count(m_entries[i].registration.dataCentre) > 0;
        updateUnreserved(i);
    }
}

void CapacityView::remove(const std::string &executor)
{
    const auto index = find(executor);
    if (!index || !m_entries[*index].isListed)
        return;
    m_entries[*index].isListed = false;
    m_entries[*index].hasReport = false;
    discardUse(m_entries[*index]);
    updateUnreserved(*index);
    --m_listed;
}

void CapacityView::report(const CapacityReport &report)
{
    const auto index = find(report.executor);
    if (!index)
        return;
    Entry &entry = m_entries[*index];
    if (report.freeCapacity.milliCores > entry.freeCapacity.milliCores)
        entry.freeSince = m_clock.now();
    entry.freeCapacity = report.freeCapacity;
    recordUse(entry);
    entry.holder = report.holder;
    entry.reported = m_clock.now();
    entry.hasReport = true;
    updateUnreserved(*index);
}

void CapacityView::recordUse(Entry &entry)
{
    if (entry.registration.rack.empty())
        return;
    const std::int64_t use = entry.registration.capacity.milliCores - entry.freeCapacity.milliCores;
    if (use != entry.reportedUse)
        m_rackTurnover.useChanged(entry.registration.rack, use - entry.reportedUse);
    entry.reportedUse = use;
}

/// The capacity in use leaves the rack, but doesn't become free.
void CapacityView::discardUse(Entry &entry)
{
    if (entry.reportedUse != 0)
        m_rackTurnover.removed(entry.registration.rack, entry.reportedUse);
    entry.reportedUse = 0;
}

void CapacityView::reserve(std::size_t executor, const Resources &demand)
{
    m_entries[executor].reserved += demand;
    updateUnreserved(executor);
}

void CapacityView::releaseReservation(std::size_t executor, const Resources &demand)
{
    m_entries[executor].reserved -= demand;
    updateUnreserved(executor);
}

void CapacityView::refused(std::size_t executor)
{
    const std::string holder = m_entries[executor].holder;
    m_entries[executor].freeCapacity = {};
    updateUnreserved(executor);
    if (holder.empty() || holder == m_preferredHost)
        return;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].holder != holder)
            continue;
        m_entries[i].freeCapacity = {};
        updateUnreserved(i);
    }
}

void CapacityView::updateUnreserved(std::size_t executor)
{
    constexpr std::int64_t None = -1;
    const Entry &entry = m_entries[executor];
    m_unreserved.resize(m_entries.size(), None);
    const bool isUsed = entry.isListed && entry.hasReport && !entry.registration.isDraining
                        && !entry.isEvacuated;
    m_unreserved[executor] = isUsed ? unreservedMilliCores(entry) : None;
}

void CapacityView::setSpeed(std::size_t executor, double speed)
{
    m_entries[executor].speed = speed;
    m_entries[executor].speedClass = speedClassOf(speed);
}

std::optional<std::size_t> CapacityView::bestFor(const PlacementQuery &query) const
{
    std::optional<std::size_t> best;
    const ReportCutoffs cutoffs = reportCutoffs();
    std::size_t i = m_entries.empty() ? 0 : m_scanStart % m_entries.size();
    for (std::size_t step = 0; step < m_entries.size(); ++step, i = next(i)) {
        if (m_unreserved[i] < query.demand.milliCores || !offers(m_entries[i], query, cutoffs))
            continue;
        if (query.excluded
            && std::find(query.excluded->begin(), query.excluded->end(), i)
                       != query.excluded->end())
            continue;
        if (!best || isBetter(m_entries[i], m_entries[*best]))
            best = i;
    }
    return best;
}

std::size_t CapacityView::next(std::size_t executor) const noexcept
{
    return executor + 1 < m_entries.size() ? executor + 1 : 0;
}

bool CapacityView::isUsable(const Entry &entry, const std::string &service)
{
    return entry.isListed && !entry.registration.isDraining && !entry.isEvacuated
           && entry.registration.service == service;
}

CapacityView::ReportCutoffs CapacityView::reportCutoffs() const
{
    const MonotonicTime now = m_clock.now();
    return {now - m_ownStaleAfter, now - m_remoteStaleAfter};
}

bool CapacityView::isRecent(const Entry &entry, const ReportCutoffs &cutoffs) const
{
    const bool isLocal = entry.registration.dataCentre == m_dataCentre;
    return entry.hasReport && entry.reported >= (isLocal ? cutoffs.own : cutoffs.others);
}

bool CapacityView::hasRecentReport() const
{
    const ReportCutoffs cutoffs = reportCutoffs();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.isListed && isRecent(entry, cutoffs);
    });
}

bool CapacityView::offers(const Entry &entry, const PlacementQuery &query,
                          const ReportCutoffs &cutoffs) const
{
    if (!isRecent(entry, cutoffs) || !isUsable(entry, query.service)
        || entry.speed < query.minSpeed)
        return false;
    if (query.minFreeFor > Duration{} && m_clock.now() < entry.freeSince + query.minFreeFor)
        return false;
    if (query.requiredRack && entry.registration.rack != *query.requiredRack)
        return false;
    if (query.avoidedRack && entry.registration.rack == *query.avoidedRack)
        return false;
    Resources available = entry.freeCapacity;
    available -= entry.reserved;
    return query.demand.fitsInto(available);
}

bool CapacityView::isBetter(const Entry &left, const Entry &right) const
{
    if (isCold(left) != isCold(right))
        return isCold(right);
    const bool isLeftLocal = left.registration.dataCentre == m_dataCentre;
    const bool isRightLocal = right.registration.dataCentre == m_dataCentre;
    if (m_isOwnDataCentreFirst && isLeftLocal != isRightLocal)
        return isLeftLocal;
    if (!m_preferredHost.empty()
        && (left.holder != m_preferredHost || right.holder != m_preferredHost))
        return isBetterAcrossHosts(left, right);
    if (left.speedClass != right.speedClass)
        return left.speedClass > right.speedClass;
    if (isLeftLocal != isRightLocal)
        return isLeftLocal;
    return unreservedMilliCores(left) < unreservedMilliCores(right);
}

// Preferring the fastest or the tightest fit would make all hosts request the same few executors.
bool CapacityView::isBetterAcrossHosts(const Entry &left, const Entry &right) const
{
    if (isSlow(left) != isSlow(right))
        return isSlow(right);
    if ((left.holder == m_preferredHost) != (right.holder == m_preferredHost))
        return left.holder == m_preferredHost;
    const bool isLeftLocal = left.registration.dataCentre == m_dataCentre;
    const bool isRightLocal = right.registration.dataCentre == m_dataCentre;
    if (isLeftLocal != isRightLocal)
        return isLeftLocal;
    return unreservedMilliCores(left) > unreservedMilliCores(right);
}

bool CapacityView::isCold(const Entry &entry) const
{
    return entry.registration.isCold() && m_clock.now() < entry.coldUntil;
}

bool CapacityView::isSlow(const Entry &entry)
{
    return entry.speedClass <= SlowClass;
}

std::int64_t CapacityView::unreservedMilliCores(const Entry &entry)
{
    return entry.freeCapacity.milliCores - entry.reserved.milliCores;
}

double CapacityView::fastestSpeed(const std::string &service) const
{
    double fastest = 0.0;
    const ReportCutoffs cutoffs = reportCutoffs();
    for (const Entry &entry : m_entries) {
        if (isRecent(entry, cutoffs) && isUsable(entry, service))
            fastest = std::max(fastest, entry.speed);
    }
    return fastest;
}

double CapacityView::capacityOf(const std::string &service) const
{
    constexpr double MillisPerCore = 1000.0;
    double cores = 0.0;
    for (const Entry &entry : m_entries) {
        if (isUsable(entry, service))
            cores += static_cast<double>(entry.registration.capacity.milliCores) / MillisPerCore
                     * entry.speed;
    }
    return cores;
}

std::int64_t CapacityView::freeMilliCores() const
{
    std::int64_t free = 0;
    const ReportCutoffs cutoffs = reportCutoffs();
    for (const Entry &entry : m_entries) {
        if (entry.isListed && !entry.isEvacuated && isRecent(entry, cutoffs))
            free += entry.freeCapacity.milliCores - entry.reserved.milliCores;
    }
    return free;
}

CapacityShare CapacityView::shareOf(const std::string &service, std::int64_t milliCores) const
{
    std::int64_t free = 0;
    std::int64_t all = 0;
    const ReportCutoffs cutoffs = reportCutoffs();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!isUsable(m_entries[i], service) || !isRecent(m_entries[i], cutoffs))
            continue;
        free += std::max<std::int64_t>(0, m_unreserved[i]);
        all += m_entries[i].registration.capacity.milliCores;
    }
    if (all <= 0)
        return {};
    return {static_cast<double>(free) / static_cast<double>(all),
            static_cast<double>(milliCores) / static_cast<double>(all)};
}

bool CapacityView::isServed(const std::string &service) const
{
    const ReportCutoffs cutoffs = reportCutoffs();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return isRecent(entry, cutoffs) && isUsable(entry, service);
    });
}

bool CapacityView::fitsAnywhere(const std::string &service, const Resources &demand) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return isUsable(entry, service) && demand.fitsInto(entry.registration.capacity);
    });
}

bool CapacityView::isRackServed(const std::string &service, const std::string &rack,
                                const Resources &demand) const
{
    const ReportCutoffs cutoffs = reportCutoffs();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.registration.rack == rack && isRecent(entry, cutoffs)
               && isUsable(entry, service) && demand.fitsInto(entry.registration.capacity);
    });
}

void CapacityView::discardReportsOf(const std::string &holder)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].holder != holder)
            continue;
        m_entries[i].hasReport = false;
        discardUse(m_entries[i]);
        updateUnreserved(i);
    }
}

std::string CapacityView::holderOf(std::size_t executor) const
{
    const Entry &entry = m_entries[executor];
    return isRecent(entry, reportCutoffs()) ? entry.holder : std::string();
}

const std::string &CapacityView::idOf(std::size_t executor) const
{
    return m_entries[executor].registration.id;
}

const std::string &CapacityView::rackOf(std::size_t executor) const
{
    return m_entries[executor].registration.rack;
}

std::optional<std::size_t> CapacityView::find(const std::string &executor) const
{
    const auto found = m_indexes.find(executor);
    if (found == m_indexes.end())
        return std::nullopt;
    return found->second;
}

} // namespace anvilmill
