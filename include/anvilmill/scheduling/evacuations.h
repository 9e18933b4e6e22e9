#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <set>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Begin or end of the evacuation of a data centre, with the store's revision of the change.
struct EvacuationChange
{
    std::string dataCentre;
    bool isEvacuated = false;
    StoreVersion revision = NoVersion;
};

/// \brief Decides in which data centres tasks may be started.
///
/// Load pattern: a data centre is emptied for a planned outage while jobs arrive at the full rate. Its
/// executors accept starts until they go, and a task that is started there is lost with them. From the
/// begin of an evacuation to its end nothing is started there; the runs that exist continue.
///
/// Thread safety: one thread at a time.
class Evacuations
{
public:
    /// Data centres that are recorded at most, as a bound on the memory. The deployments have four.
    static constexpr std::size_t MaxDataCentres = 1000;

    /// \brief Where \p isReadRequired, no start is allowed anywhere until setKnown().
    explicit Evacuations(bool isReadRequired = false) noexcept
        : m_isKnown(!isReadRequired)
    {
    }

    /// \brief Applies changes in the order of \p changes; returns the last change of each data centre
    /// whose state differs from the one before.
    std::vector<EvacuationChange> apply(const std::vector<EvacuationChange> &changes);

    /// \brief Call when all changes up to the present are applied; returns false if it was called
    /// before.
    bool setKnown() noexcept;

    /// \brief True unless the evacuations must be read first.
    [[nodiscard]] bool isKnown() const noexcept { return m_isKnown; }

    [[nodiscard]] bool mayStartIn(const std::string &dataCentre) const
    {
        return m_isKnown && m_dataCentres.count(dataCentre) == 0;
    }

    [[nodiscard]] const std::set<std::string> &dataCentres() const noexcept
    {
        return m_dataCentres;
    }

private:
    bool insert(const std::string &dataCentre);

    std::set<std::string> m_dataCentres;
    bool m_isKnown;
};

} // namespace anvilmill
