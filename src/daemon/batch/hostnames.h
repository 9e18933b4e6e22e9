#pragma once

#include "anvilmill/executor/holderassignment.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Decides which names of hosts may be recorded, since any program that reaches the mesh can
/// make up names.
///
/// Listed hosts always may; others, such as hosts that have just started, up to a limit.
///
/// Thread safety: used by the loop's thread alone.
class HostNames
{
public:
    /// Longest name, in bytes.
    static constexpr std::size_t MaxLength = 255;

    /// \brief \p maxUnlisted: names of hosts that have never been listed.
    explicit HostNames(std::size_t maxUnlisted);

    /// \brief True if \p name may be recorded; it then may be until the process ends.
    [[nodiscard]] bool admit(const std::string &name);

    /// \brief Admits the names of \p hosts, now and after they are no longer listed.
    void setListed(const std::vector<PeerHost> &hosts);

    [[nodiscard]] std::size_t unlisted() const noexcept { return m_unlisted.size(); }

private:
    std::size_t m_maxUnlisted;
    std::set<std::string> m_listed;
    std::set<std::string> m_unlisted;
};

} // namespace anvilmill::daemon
