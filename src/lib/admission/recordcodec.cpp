#include "recordcodec.h"

#include <algorithm>
#include <limits>

namespace anvilmill {

namespace {

using wire::admission::RecordColumns;

constexpr std::int64_t NoIndex = -1;

bool isAttempt(std::int64_t value)
{
    return value >= 0 && value <= std::numeric_limits<std::uint32_t>::max();
}

bool hasEqualLengths(const RecordColumns &columns)
{
    const std::size_t size = columns.keyHigh.size();
    return columns.keyLow.size() == size && columns.digest.size() == size
           && columns.holder.size() == size && columns.issuer.size() == size
           && columns.heldAttempt.size() == size && columns.closedUpTo.size() == size
           && columns.ruledEpoch.size() == size && columns.ageMs.size() == size;
}

bool isWellFormed(const RecordColumns &columns)
{
    if (!hasEqualLengths(columns))
        return false;
    const auto hosts = static_cast<std::int64_t>(columns.hosts.size());
    const auto isHost = [hosts](std::int64_t index) { return index >= NoIndex && index < hosts; };
    const auto isAge = [](std::int64_t age) { return age >= 0; };
    return std::all_of(columns.holder.begin(), columns.holder.end(), isHost)
           && std::all_of(columns.issuer.begin(), columns.issuer.end(), isHost)
           && std::all_of(columns.heldAttempt.begin(), columns.heldAttempt.end(), isAttempt)
           && std::all_of(columns.closedUpTo.begin(), columns.closedUpTo.end(), isAttempt)
           && std::all_of(columns.ageMs.begin(), columns.ageMs.end(), isAge);
}

} // namespace

RecordWriter::RecordWriter(const HostNumbers &hosts, MonotonicTime now)
    : m_hosts(hosts)
    , m_now(now)
{
}

std::int64_t RecordWriter::indexOf(HostNumber host)
{
    if (host == NoHost)
        return NoIndex;
    const auto next = static_cast<std::int64_t>(m_columns.hosts.size());
    const auto [entry, isNew] = m_indexes.emplace(host, next);
    if (isNew)
        m_columns.hosts.push_back(asWire(m_hosts.host(host)));
    return entry->second;
}

void RecordWriter::add(const KeyFingerprint &key, const ClaimRecord &record)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - record.since);
    m_columns.keyHigh.push_back(static_cast<std::int64_t>(key.high));
    m_columns.keyLow.push_back(static_cast<std::int64_t>(key.low));
    m_columns.digest.push_back(static_cast<std::int64_t>(record.digest));
    m_columns.holder.push_back(indexOf(record.holder));
    m_columns.issuer.push_back(indexOf(record.issuer));
    m_columns.heldAttempt.push_back(record.heldAttempt);
    m_columns.closedUpTo.push_back(record.closedUpTo);
    m_columns.ruledEpoch.push_back(record.decidedEpoch);
    m_columns.ageMs.push_back(std::max<std::int64_t>(age.count(), 0));
}

RecordColumns RecordWriter::take()
{
    m_indexes.clear();
    RecordColumns columns = std::move(m_columns);
    m_columns = {};
    return columns;
}

bool readRecords(const RecordColumns &columns, HostNumbers &hosts, MonotonicTime now,
                 const RecordVisitor &visit)
{
    if (!isWellFormed(columns))
        return false;
    std::vector<HostNumber> numbers;
    numbers.reserve(columns.hosts.size());
    for (const wire::admission::Host &host : columns.hosts) {
        const auto number = hosts.numberOf(fromWire(host));
        if (!number)
            return false;
        numbers.push_back(*number);
    }
    const auto numberAt = [&](std::int64_t index) {
        return index == NoIndex ? NoHost : numbers[static_cast<std::size_t>(index)];
    };
    for (std::size_t i = 0; i < columns.keyHigh.size(); ++i) {
        const KeyFingerprint key{static_cast<std::uint64_t>(columns.keyHigh[i]),
                                 static_cast<std::uint64_t>(columns.keyLow[i])};
        ClaimRecord record;
        record.since = now - std::chrono::milliseconds(columns.ageMs[i]);
        record.digest = static_cast<std::uint64_t>(columns.digest[i]);
        record.holder = numberAt(columns.holder[i]);
        record.issuer = numberAt(columns.issuer[i]);
        record.heldAttempt = static_cast<std::uint32_t>(columns.heldAttempt[i]);
        record.closedUpTo = static_cast<std::uint32_t>(columns.closedUpTo[i]);
        record.decidedEpoch = columns.ruledEpoch[i];
        record.isHomedHere = true;
        visit(key, record);
    }
    return true;
}

wire::admission::Host asWire(const HostIncarnation &host)
{
    return {host.dataCentre, host.host, static_cast<std::int64_t>(host.incarnation)};
}

HostIncarnation fromWire(const wire::admission::Host &host)
{
    return {host.dataCentre, host.host, static_cast<std::uint64_t>(host.incarnation)};
}

wire::admission::MemberList asWire(const View &view)
{
    wire::admission::MemberList list;
    list.epoch = static_cast<std::int64_t>(view.epoch);
    for (const HostIncarnation &member : view.members)
        list.members.push_back(asWire(member));
    return list;
}

View fromWire(const wire::admission::MemberList &view)
{
    View result;
    result.epoch = static_cast<std::uint64_t>(view.epoch);
    for (const wire::admission::Host &member : view.members)
        result.members.push_back(fromWire(member));
    return result;
}

} // namespace anvilmill
