#pragma once

#include "anvilmill/configuration/configurationmessage.h"
#include "anvilmill/configuration/sheet.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Number of an accepted sheet; 0 is the initial, empty sheet of every host.
using Revision = std::uint64_t;

/// \brief Identifies one accepted sheet. Two different sheets share a revision only if the platform
/// lost writes; their digests differ then.
struct RevisionId
{
    Revision revision = 0;
    std::string digest;

    [[nodiscard]] bool operator==(const RevisionId &other) const noexcept;
    [[nodiscard]] bool operator!=(const RevisionId &other) const noexcept;
};

/// \brief An accepted sheet.
struct Configuration
{
    RevisionId id;
    Sheet sheet;

    /// \brief Revision 0: the empty sheet.
    [[nodiscard]] static Configuration initial();

    [[nodiscard]] static Configuration of(Revision revision, Sheet sheet);
};

using Delta = wire::configuration::Delta;
using WholeConfiguration = wire::configuration::Whole;

[[nodiscard]] RevisionId baseOf(const Delta &delta);
[[nodiscard]] RevisionId targetOf(const Delta &delta);

/// \brief Computes the delta from \p before to \p after.
[[nodiscard]] Delta deltaBetween(const Configuration &before, const Configuration &after);

/// \brief \p before with \p delta applied.
///
/// An error if the base of \p delta is not \p before, if \p delta is malformed, or if the resulting
/// digest differs from the one in \p delta.
[[nodiscard]] Result<Configuration> applied(const Configuration &before, const Delta &delta);

[[nodiscard]] WholeConfiguration asWhole(const Configuration &configuration);

/// \brief The configuration in \p whole; an error if it is malformed or has another digest than
/// stated.
[[nodiscard]] Result<Configuration> fromWhole(const WholeConfiguration &whole);

/// \brief A contiguous log of the latest deltas, bounded in bytes.
///
/// Thread safety: one thread at a time.
class DeltaLog
{
public:
    explicit DeltaLog(std::size_t maxBytes) noexcept;

    /// \brief Appends \p delta and drops the oldest deltas beyond the bound. Clears the log first
    /// if \p delta does not continue it.
    void append(const Delta &delta);

    void clear() noexcept;

    /// \brief The deltas from \p base to the end of the log; empty if the log does not contain
    /// \p base.
    [[nodiscard]] std::vector<Delta> since(const RevisionId &base) const;

    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::deque<Delta> m_deltas;
};

/// \brief The approximate size of \p delta in a message, in bytes.
[[nodiscard]] std::size_t sizeOf(const Delta &delta) noexcept;

} // namespace anvilmill
