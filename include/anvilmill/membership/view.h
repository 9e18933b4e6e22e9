#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief One process lifetime of an entry host. A restart or replacement gets a new incarnation.
struct HostIncarnation
{
    std::string dataCentre;
    std::string host;
    std::uint64_t incarnation = 0;

    [[nodiscard]] bool operator==(const HostIncarnation &other) const noexcept;
    [[nodiscard]] bool operator!=(const HostIncarnation &other) const noexcept;
    [[nodiscard]] bool operator<(const HostIncarnation &other) const noexcept;

    /// \brief `dataCentre/host/incarnation`.
    [[nodiscard]] std::string asString() const;
};

/// \brief The agreed entry hosts of one data centre.
///
/// Views of a data centre are totally ordered by epoch: each is written to the platform's
/// key-value service by compare-and-swap on its predecessor.
struct View
{
    std::uint64_t epoch = 0;
    std::vector<HostIncarnation> members;

    [[nodiscard]] bool contains(const HostIncarnation &host) const noexcept;
};

/// \brief Reports whether this host may still act under its view.
///
/// Implementations are safe to call from any thread.
class ViewGuard
{
public:
    virtual ~ViewGuard() = default;

    /// \brief The newest view that this host has adopted.
    [[nodiscard]] virtual View currentView() const = 0;

    /// \brief True while no other host can be acting under a view that excludes this one.
    ///
    /// Holds while this host's lease in the platform is valid on the monotonic clock, or while
    /// every other member of its view has promised not to act under a view without it.
    [[nodiscard]] virtual bool mayActAsOwner() const = 0;
};

} // namespace anvilmill
