#include "anvilmill/history/bodydigest.h"

#include <cstdio>

namespace anvilmill {

namespace {

// FNV-1a, 64 bits.
constexpr std::uint64_t Prime = 0x100000001b3ULL;

std::uint64_t fnv1aStep(std::uint64_t state, std::uint8_t byte) noexcept
{
    return (state ^ byte) * Prime;
}

} // namespace

void BodyDigest::add(std::string_view part) noexcept
{
    // Hashes the length before the bytes, so that the digest depends on the boundaries of parts.
    for (std::uint64_t length = part.size(), i = 0; i < sizeof length; ++i, length >>= 8U)
        m_state = fnv1aStep(m_state, static_cast<std::uint8_t>(length));
    for (const char byte : part)
        m_state = fnv1aStep(m_state, static_cast<std::uint8_t>(byte));
}

std::string BodyDigest::asString() const
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_state));
    return text;
}

} // namespace anvilmill
