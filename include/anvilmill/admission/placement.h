#pragma once

#include "anvilmill/admission/submissionkey.h"
#include "anvilmill/membership/view.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Maps a key to the members of a view that store its claim, by rendezvous hashing.
///
/// Thread safety: immutable after construction.
class Placement
{
public:
    /// \brief Index of a member that does not exist.
    static constexpr std::size_t None = static_cast<std::size_t>(-1);

    struct Hosts
    {
        /// Decides claims; None in an empty view.
        std::size_t directory = None;
        /// Stores the second copy if the claiming host doesn't; None in a view of one member.
        std::size_t backup = None;
    };

    explicit Placement(View view);

    [[nodiscard]] const View &view() const noexcept { return m_view; }
    [[nodiscard]] Hosts hostsOf(const KeyFingerprint &key) const noexcept;

    /// \brief Precondition: \p index is the index of a member.
    [[nodiscard]] const HostIncarnation &member(std::size_t index) const;

private:
    View m_view;
    std::vector<std::uint64_t> m_memberHashes;
};

/// \brief The home data centre of \p key among \p dataCentres. Precondition: the list is not empty.
[[nodiscard]] const std::string &homeOf(const KeyFingerprint &key,
                                        const std::vector<std::string> &dataCentres);

} // namespace anvilmill
