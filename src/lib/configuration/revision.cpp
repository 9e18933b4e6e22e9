#include "anvilmill/configuration/revision.h"

#include "anvilmill/configuration/sheetdiff.h"
#include "anvilmill/configuration/sheetparser.h"
#include "rowparser.h"

#include <algorithm>

namespace anvilmill {

namespace {

using wire::configuration::RowKindName;
using wire::configuration::RowName;

/// Approximate encoded size of a delta without its rows and removed names.
constexpr std::size_t DeltaOverheadBytes = 130;
constexpr std::size_t RemovedOverheadBytes = 20;

RowKindName asWireKind(RowKind kind)
{
    switch (kind) {
    case RowKind::Service:
        return RowKindName::Service;
    case RowKind::Stop:
        return RowKindName::Stop;
    case RowKind::Team:
        return RowKindName::Team;
    }
    return RowKindName::Service;
}

RowKind asRowKind(RowKindName kind)
{
    switch (kind) {
    case RowKindName::Service:
        return RowKind::Service;
    case RowKindName::Stop:
        return RowKind::Stop;
    case RowKindName::Team:
        return RowKind::Team;
    }
    return RowKind::Service;
}

SheetPatch patchOf(const Delta &delta)
{
    SheetPatch patch;
    patch.rows = delta.rows;
    for (const RowName &name : delta.removed)
        patch.removed.push_back({asRowKind(name.kind), name.name});
    return patch;
}

Error digestMismatch(const RevisionId &expected, const std::string &actual)
{
    return {"revision " + std::to_string(expected.revision) + " has the digest " + actual
                    + " instead of " + expected.digest,
            {}};
}

} // namespace

bool RevisionId::operator==(const RevisionId &other) const noexcept
{
    return revision == other.revision && digest == other.digest;
}

bool RevisionId::operator!=(const RevisionId &other) const noexcept
{
    return !(*this == other);
}

Configuration Configuration::initial()
{
    return of(0, Sheet());
}

Configuration Configuration::of(Revision revision, Sheet sheet)
{
    std::string digest = digestOf(sheet);
    return {{revision, std::move(digest)}, std::move(sheet)};
}

RevisionId baseOf(const Delta &delta)
{
    return {static_cast<Revision>(delta.baseRevision), delta.baseDigest};
}

RevisionId targetOf(const Delta &delta)
{
    return {static_cast<Revision>(delta.revision), delta.digest};
}

Delta deltaBetween(const Configuration &before, const Configuration &after)
{
    SheetPatch patch = patchBetween(before.sheet, after.sheet);
    Delta delta;
    delta.revision = static_cast<std::int64_t>(after.id.revision);
    delta.digest = after.id.digest;
    delta.baseRevision = static_cast<std::int64_t>(before.id.revision);
    delta.baseDigest = before.id.digest;
    delta.rows = std::move(patch.rows);
    for (const RowKey &key : patch.removed)
        delta.removed.push_back({asWireKind(key.row), key.name});
    return delta;
}

Result<Configuration> applied(const Configuration &before, const Delta &delta)
{
    const RevisionId target = targetOf(delta);
    if (baseOf(delta) != before.id || target.revision <= before.id.revision)
        return Error{"the delta to revision " + std::to_string(target.revision)
                             + " is not based on revision " + std::to_string(before.id.revision),
                     {}};
    Result<Sheet> sheet = patched(before.sheet, patchOf(delta));
    if (!sheet)
        return sheet.error();
    Configuration after = Configuration::of(target.revision, std::move(*sheet));
    if (after.id != target)
        return digestMismatch(target, after.id.digest);
    return after;
}

WholeConfiguration asWhole(const Configuration &configuration)
{
    WholeConfiguration whole;
    whole.revision = static_cast<std::int64_t>(configuration.id.revision);
    whole.digest = configuration.id.digest;
    whole.sheet = canonicalText(configuration.sheet);
    return whole;
}

Result<Configuration> fromWhole(const WholeConfiguration &whole)
{
    RowParse parse = parseRows(whole.sheet, "revision " + std::to_string(whole.revision));
    if (!parse.errors.empty())
        return parse.errors.front();
    const auto revision = static_cast<Revision>(whole.revision);
    Configuration configuration = Configuration::of(revision, std::move(parse.rows));
    if (configuration.id.digest != whole.digest)
        return digestMismatch({revision, whole.digest}, configuration.id.digest);
    return configuration;
}

std::size_t sizeOf(const Delta &delta) noexcept
{
    std::size_t bytes = DeltaOverheadBytes + delta.rows.size();
    for (const RowName &name : delta.removed)
        bytes += RemovedOverheadBytes + name.name.size();
    return bytes;
}

DeltaLog::DeltaLog(std::size_t maxBytes) noexcept
    : m_maxBytes(maxBytes)
{
}

void DeltaLog::append(const Delta &delta)
{
    if (!m_deltas.empty() && targetOf(m_deltas.back()) != baseOf(delta))
        clear();
    m_deltas.push_back(delta);
    m_bytes += sizeOf(delta);
    while (m_bytes > m_maxBytes) {
        m_bytes -= sizeOf(m_deltas.front());
        m_deltas.pop_front();
    }
}

void DeltaLog::clear() noexcept
{
    m_deltas.clear();
    m_bytes = 0;
}

std::vector<Delta> DeltaLog::since(const RevisionId &base) const
{
    const auto first = std::find_if(m_deltas.begin(), m_deltas.end(),
                                    [&](const Delta &delta) { return baseOf(delta) == base; });
    return {first, m_deltas.end()};
}

} // namespace anvilmill
