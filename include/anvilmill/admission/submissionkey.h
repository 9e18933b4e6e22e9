#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief 128-bit hash of a submission key; identifies the key in tables and messages.
struct KeyFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] bool operator==(const KeyFingerprint &other) const noexcept;
    [[nodiscard]] bool operator!=(const KeyFingerprint &other) const noexcept;
};

/// \brief Secret of the hash over keys and bodies, the same on every entry host.
///
/// With a secret, a caller can't construct a key that collides with another caller's.
struct HashSecret
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

/// \brief SipHash-2-4 with 128 bits of output.
[[nodiscard]] KeyFingerprint fingerprintOf(std::string_view text,
                                           const HashSecret &secret) noexcept;

/// \brief Digest of a request's body; distinguishes a resubmission from a reuse of its key.
[[nodiscard]] std::uint64_t bodyDigest(std::string_view body, const HashSecret &secret) noexcept;

/// \brief A submission id issued by one entry host incarnation, which alone decides its claims.
///
/// Format: `dataCentre.host.incarnation.issueMillis.sequence`; a host name may contain dots.
struct Ticket
{
    HostIncarnation issuer;
    WallTime issuedAt;
    std::uint64_t sequence = 0;

    [[nodiscard]] std::string asString() const;

    /// \brief Returns std::nullopt if \p text is not a ticket.
    [[nodiscard]] static std::optional<Ticket> parse(std::string_view text);
};

/// \brief Identity of a submission: the same key on every resubmission.
///
/// A ticket is homed in the data centre of its issuer. Any other key is opaque: its home is the
/// data centre that it names before the first slash, or else the first of the configured data
/// centres in rendezvous order. The home doesn't depend on which data centres are reachable.
///
/// \code
/// Result<SubmissionKey> key = SubmissionKey::parse("bole/order-17", {"bole", "piassa"}, secret);
/// \endcode
class SubmissionKey
{
public:
    static constexpr std::size_t MaxLength = 200;

    /// \brief Constructs an empty key, as a target of assignment.
    SubmissionKey() = default;

    /// \brief Returns an error if \p text is empty, longer than MaxLength or not printable ASCII.
    ///
    /// Precondition: \p dataCentres is not empty.
    [[nodiscard]] static Result<SubmissionKey> parse(std::string_view text,
                                                     const std::vector<std::string> &dataCentres,
                                                     const HashSecret &secret);

    [[nodiscard]] const std::string &text() const noexcept { return m_text; }
    [[nodiscard]] const KeyFingerprint &fingerprint() const noexcept { return m_fingerprint; }
    [[nodiscard]] const std::string &home() const noexcept { return m_home; }
    [[nodiscard]] const std::optional<Ticket> &ticket() const noexcept { return m_ticket; }

    /// \brief Issue time of a ticket, or of an opaque key that is or ends in a version 7 UUID.
    [[nodiscard]] const std::optional<WallTime> &issuedAt() const noexcept { return m_issuedAt; }

private:
    std::string m_text;
    KeyFingerprint m_fingerprint;
    std::string m_home;
    std::optional<Ticket> m_ticket;
    std::optional<WallTime> m_issuedAt;
};

} // namespace anvilmill
