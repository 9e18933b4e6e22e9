#pragma once

#include "claimrecord.h"

#include <admission.h>

#include <functional>
#include <unordered_map>

namespace anvilmill {

/// \brief Appends records to the columns of a message.
class RecordWriter
{
public:
    RecordWriter(const HostNumbers &hosts, MonotonicTime now);

    void add(const KeyFingerprint &key, const ClaimRecord &record);
    [[nodiscard]] std::size_t size() const noexcept { return m_columns.keyHigh.size(); }

    /// \brief Returns the columns written since the last call.
    [[nodiscard]] wire::admission::RecordColumns take();

private:
    std::int64_t indexOf(HostNumber host);

    const HostNumbers &m_hosts;
    MonotonicTime m_now;
    wire::admission::RecordColumns m_columns;
    std::unordered_map<HostNumber, std::int64_t> m_indexes;
};

using RecordVisitor = std::function<void(const KeyFingerprint &, const ClaimRecord &)>;

/// \brief Calls \p visit for each record. Returns false, without a call, if any is malformed.
[[nodiscard]] bool readRecords(const wire::admission::RecordColumns &columns, HostNumbers &hosts,
                               MonotonicTime now, const RecordVisitor &visit);

[[nodiscard]] wire::admission::Host asWire(const HostIncarnation &host);
[[nodiscard]] HostIncarnation fromWire(const wire::admission::Host &host);
[[nodiscard]] wire::admission::MemberList asWire(const View &view);
[[nodiscard]] View fromWire(const wire::admission::MemberList &view);

} // namespace anvilmill
