#include "anvilmill/admission/submissionkey.h"
#include "anvilmill/admission/placement.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace anvilmill {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::array<std::size_t, 4> UuidHyphens = {8, 13, 18, 23};
constexpr std::size_t UuidVersionAt = 14;
// Later times would overflow WallTime.
constexpr std::int64_t MaxMillis = 9'000'000'000'000;

template <typename Number>
std::optional<Number> asNumber(std::string_view digits, int base = 10)
{
    Number value = 0;
    const char *end = digits.data() + digits.size();
    const auto [stopped, error] = std::from_chars(digits.data(), end, value, base);
    if (digits.empty() || error != std::errc() || stopped != end)
        return std::nullopt;
    return value;
}

WallTime asWallTime(std::int64_t millis)
{
    return WallTime(std::chrono::milliseconds(millis));
}

/// Removes the part after the last dot, and the dot, from \p text and returns the part.
std::optional<std::string_view> takeLastPart(std::string_view &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::string_view part = text.substr(dot + 1);
    text = text.substr(0, dot);
    return part;
}

template <typename Number>
std::optional<Number> takeLastNumber(std::string_view &text)
{
    const std::optional<std::string_view> part = takeLastPart(text);
    return part ? asNumber<Number>(*part) : std::nullopt;
}

/// Issue time of the version 7 UUID at the end of \p text.
std::optional<WallTime> uuidTime(std::string_view text)
{
    if (text.size() < UuidLength)
        return std::nullopt;
    const std::string_view uuid = text.substr(text.size() - UuidLength);
    for (const std::size_t at : UuidHyphens) {
        if (uuid[at] != '-')
            return std::nullopt;
    }
    if (uuid[UuidVersionAt] != '7')
        return std::nullopt;
    const std::string digits = std::string(uuid.substr(0, 8)) + std::string(uuid.substr(9, 4));
    const std::optional<std::int64_t> millis = asNumber<std::int64_t>(digits, 16);
    if (!millis || *millis < 0 || *millis > MaxMillis)
        return std::nullopt;
    return asWallTime(*millis);
}

bool isPrintable(char character)
{
    return character > ' ' && character < '\x7f';
}

/// The data centre that \p text names before its first slash, if it is a configured one.
const std::string *explicitHomeOf(std::string_view text,
                                  const std::vector<std::string> &dataCentres)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return nullptr;
    const auto found = std::find(dataCentres.begin(), dataCentres.end(), text.substr(0, slash));
    return found == dataCentres.end() ? nullptr : &*found;
}

} // namespace

std::string Ticket::asString() const
{
    const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(issuedAt.time_since_epoch());
    return issuer.dataCentre + "." + issuer.host + "." + std::to_string(issuer.incarnation) + "."
           + std::to_string(millis.count()) + "." + std::to_string(sequence);
}

std::optional<Ticket> Ticket::parse(std::string_view text)
{
    const auto sequence = takeLastNumber<std::uint64_t>(text);
    if (!sequence)
        return std::nullopt;
    const auto millis = takeLastNumber<std::int64_t>(text);
    if (!millis || *millis < 0 || *millis > MaxMillis)
        return std::nullopt;
    const auto incarnation = takeLastNumber<std::uint64_t>(text);
    const std::size_t dot = text.find('.');
    if (!incarnation || dot == std::string_view::npos || dot == 0 || dot + 1 == text.size())
        return std::nullopt;
    Ticket ticket;
    ticket.issuer = {std::string(text.substr(0, dot)), std::string(text.substr(dot + 1)),
                     *incarnation};
    ticket.issuedAt = asWallTime(*millis);
    ticket.sequence = *sequence;
    return ticket;
}

Result<SubmissionKey> SubmissionKey::parse(std::string_view text,
                                           const std::vector<std::string> &dataCentres,
                                           const HashSecret &secret)
{
    if (text.empty() || text.size() > MaxLength)
        return Error{"a submission key must have 1 to " + std::to_string(MaxLength) + " characters",
                     {}};
    if (!std::all_of(text.begin(), text.end(), isPrintable))
        return Error{"a submission key may contain only printable ASCII characters without spaces",
                     {}};
    SubmissionKey key;
    key.m_text = std::string(text);
    key.m_fingerprint = fingerprintOf(text, secret);
    key.m_ticket = Ticket::parse(text);
    const bool isHomeConfigured =
            key.m_ticket
            && std::count(dataCentres.begin(), dataCentres.end(), key.m_ticket->issuer.dataCentre)
                       > 0;
    if (!isHomeConfigured)
        key.m_ticket.reset();
    if (key.m_ticket) {
        key.m_home = key.m_ticket->issuer.dataCentre;
        key.m_issuedAt = key.m_ticket->issuedAt;
        return key;
    }
    const std::string *explicitHome = explicitHomeOf(text, dataCentres);
    key.m_home = explicitHome ? *explicitHome : homeOf(key.m_fingerprint, dataCentres);
    key.m_issuedAt = uuidTime(text);
    return key;
}

} // namespace anvilmill
