#include "anvilmill/scheduling/capacityview.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

/// Speeds within this factor of each other count as equal: run times of one kind of task vary more.
constexpr double SpeedStep = 1.15;
/// Tasks there take half as long again as on an average executor, which most targets don't allow.
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
    , m_othersStaleAfter(staleAfter)
{
}

void CapacityView::setPreferredHost(const std::string &host)
{
    m_firstHost = host;
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
    entry.registration = registration;
    return index->second;
}

void CapacityView::remove(const std::string &executor)
{
    const auto index = find(executor);
    if (!index || !m_entries[*index].isListed)
        return;
    m_entries[*index].isListed = false;
    m_entries[*index].hasReport = false;
    --m_listed;
}

void CapacityView::report(const CapacityReport &report)
{
    const auto index = find(report.executor);
    if (!index)
        return;
    Entry &entry = m_entries[*index];
    entry.room = report.room;
    entry.holder = report.holder;
    entry.reported = m_clock.now();
    entry.hasReport = true;
}

void CapacityView::asked(std::size_t executor, const Resources &demand)
{
    m_entries[executor].asked += demand;
}

void CapacityView::answered(std::size_t executor, const Resources &demand)
{
    m_entries[executor].asked -= demand;
}

void CapacityView::refused(std::size_t executor)
{
    const std::string holder = m_entries[executor].holder;
    m_entries[executor].room = {};
    if (holder.empty() || holder == m_firstHost)
        return;
    for (Entry &entry : m_entries) {
        if (entry.holder == holder)
            entry.room = {};
    }
}

void CapacityView::setSpeed(std::size_t executor, double speed)
{
    m_entries[executor].speed = speed;
    m_entries[executor].speedClass = speedClassOf(speed);
}

std::optional<std::size_t> CapacityView::bestFor(const PlacementQuery &query) const
{
    std::optional<std::size_t> best;
    const Oldest limits = oldest();
    for (std::size_t step = 0; step < m_entries.size(); ++step) {
        const std::size_t i = (m_scanStart + step) % m_entries.size();
        if (!offers(m_entries[i], query, limits))
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

bool CapacityView::isUsable(const Entry &entry, const std::string &service)
{
    return entry.isListed && !entry.registration.isDraining
           && entry.registration.service == service;
}

CapacityView::Oldest CapacityView::oldest() const
{
    const MonotonicTime now = m_clock.now();
    return {now - m_ownStaleAfter, now - m_othersStaleAfter};
}

bool CapacityView::isRecent(const Entry &entry, const Oldest &oldest) const
{
    const bool isLocal = entry.registration.dataCentre == m_dataCentre;
    return entry.hasReport && entry.reported >= (isLocal ? oldest.own : oldest.others);
}

bool CapacityView::hasRecentReport() const
{
    const Oldest limits = oldest();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.isListed && isRecent(entry, limits);
    });
}

bool CapacityView::offers(const Entry &entry, const PlacementQuery &query,
                          const Oldest &oldest) const
{
    if (!isRecent(entry, oldest) || !isUsable(entry, query.service))
        return false;
    Resources room = entry.room;
    room -= entry.asked;
    return query.demand.fitsInto(room);
}

bool CapacityView::isBetter(const Entry &left, const Entry &right) const
{
    const bool isLeftLocal = left.registration.dataCentre == m_dataCentre;
    const bool isRightLocal = right.registration.dataCentre == m_dataCentre;
    if (m_isOwnFirst && isLeftLocal != isRightLocal)
        return isLeftLocal;
    if (!m_firstHost.empty() && (left.holder != m_firstHost || right.holder != m_firstHost))
        return isBetterToAsk(left, right);
    if (left.speedClass != right.speedClass)
        return left.speedClass > right.speedClass;
    if (isLeftLocal != isRightLocal)
        return isLeftLocal;
    return freeCores(left) < freeCores(right);
}

// Not the fastest or the tightest: all hosts would ask for the same few.
bool CapacityView::isBetterToAsk(const Entry &left, const Entry &right) const
{
    if (isSlow(left) != isSlow(right))
        return isSlow(right);
    if ((left.holder == m_firstHost) != (right.holder == m_firstHost))
        return left.holder == m_firstHost;
    const bool isLeftLocal = left.registration.dataCentre == m_dataCentre;
    const bool isRightLocal = right.registration.dataCentre == m_dataCentre;
    if (isLeftLocal != isRightLocal)
        return isLeftLocal;
    return freeCores(left) > freeCores(right);
}

bool CapacityView::isSlow(const Entry &entry)
{
    return entry.speedClass <= SlowClass;
}

std::int64_t CapacityView::freeCores(const Entry &entry)
{
    return entry.room.milliCores - entry.asked.milliCores;
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
    const Oldest limits = oldest();
    for (const Entry &entry : m_entries) {
        if (entry.isListed && isRecent(entry, limits))
            free += entry.room.milliCores - entry.asked.milliCores;
    }
    return free;
}

bool CapacityView::isServed(const std::string &service) const
{
    const Oldest limits = oldest();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return isRecent(entry, limits) && isUsable(entry, service);
    });
}

bool CapacityView::fitsAnywhere(const std::string &service, const Resources &demand) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return isUsable(entry, service) && demand.fitsInto(entry.registration.capacity);
    });
}

std::string CapacityView::holderOf(std::size_t executor) const
{
    const Entry &entry = m_entries[executor];
    return isRecent(entry, oldest()) ? entry.holder : std::string();
}

const std::string &CapacityView::idOf(std::size_t executor) const
{
    return m_entries[executor].registration.id;
}

std::optional<std::size_t> CapacityView::find(const std::string &executor) const
{
    const auto found = m_indexes.find(executor);
    if (found == m_indexes.end())
        return std::nullopt;
    return found->second;
}

} // namespace anvilmill
