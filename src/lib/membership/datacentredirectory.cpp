#include "anvilmill/membership/datacentredirectory.h"

#include <algorithm>

namespace anvilmill {

namespace {

bool isSameHost(const wire::peer::HostSummary &left, const wire::peer::HostSummary &right)
{
    return left.host == right.host && left.incarnation == right.incarnation
           && left.address == right.address;
}

bool areSameHosts(const std::vector<wire::peer::HostSummary> &left,
                  const std::vector<wire::peer::HostSummary> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSameHost);
}

std::int64_t millisOf(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

// FNV-1a.
class Hash
{
public:
    void add(std::uint64_t value)
    {
        for (int shift = 0; shift < 64; shift += 8)
            addByte(static_cast<unsigned char>(value >> shift));
    }

    void add(const std::string &text)
    {
        for (const char c : text)
            addByte(static_cast<unsigned char>(c));
    }

    // Never negative, so that it is short on the wire.
    [[nodiscard]] std::int64_t value() const { return static_cast<std::int64_t>(m_state >> 1U); }

private:
    void addByte(unsigned char byte) { m_state = (m_state ^ byte) * 0x100000001b3ULL; }

    std::uint64_t m_state = 0xcbf29ce484222325ULL;
};

} // namespace

bool DataCentreDirectory::merge(const wire::peer::DataCentreSummary &summary)
{
    if (summary.revision <= revision(summary.dataCentre))
        return false;
    m_summaries[summary.dataCentre] = summary;
    return true;
}

void DataCentreDirectory::update(const std::string &dataCentre, std::uint64_t epoch,
                                 std::vector<wire::peer::HostSummary> hosts, WallTime now)
{
    const wire::peer::DataCentreSummary *held = find(dataCentre);
    const auto newEpoch = static_cast<std::int64_t>(epoch);
    if (held && held->epoch == newEpoch && areSameHosts(held->hosts, hosts))
        return;
    wire::peer::DataCentreSummary summary;
    summary.dataCentre = dataCentre;
    summary.epoch = newEpoch;
    summary.revision = std::max(revision(dataCentre) + 1, millisOf(now));
    summary.hosts = std::move(hosts);
    m_summaries[dataCentre] = std::move(summary);
}

const wire::peer::DataCentreSummary *DataCentreDirectory::find(const std::string &dataCentre) const
{
    const auto entry = m_summaries.find(dataCentre);
    return entry == m_summaries.end() ? nullptr : &entry->second;
}

std::int64_t DataCentreDirectory::revision(const std::string &dataCentre) const
{
    const wire::peer::DataCentreSummary *held = find(dataCentre);
    return held ? held->revision : 0;
}

std::int64_t DataCentreDirectory::digest() const
{
    Hash hash;
    for (const auto &[name, summary] : m_summaries) {
        hash.add(name);
        hash.add(static_cast<std::uint64_t>(summary.revision));
    }
    return hash.value();
}

std::vector<wire::peer::DataCentreSummary> DataCentreDirectory::all() const
{
    std::vector<wire::peer::DataCentreSummary> summaries;
    for (const auto &entry : m_summaries)
        summaries.push_back(entry.second);
    return summaries;
}

} // namespace anvilmill
