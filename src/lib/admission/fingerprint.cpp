#include "anvilmill/admission/submissionkey.h"

namespace anvilmill {

namespace {

constexpr std::uint64_t rotatedLeft(std::uint64_t value, unsigned bits) noexcept
{
    return (value << bits) | (value >> (64U - bits));
}

/// SipHash-2-4 with 128 bits of output.
class SipHash
{
public:
    explicit SipHash(const HashSecret &secret) noexcept
        : m_v0(0x736f6d6570736575ULL ^ secret.first)
        , m_v1(0x646f72616e646f6dULL ^ secret.second ^ Output128Constant)
        , m_v2(0x6c7967656e657261ULL ^ secret.first)
        , m_v3(0x7465646279746573ULL ^ secret.second)
    {
    }

    KeyFingerprint digest(std::string_view text) noexcept
    {
        const std::size_t whole = text.size() - text.size() % WordBytes;
        for (std::size_t i = 0; i < whole; i += WordBytes)
            absorb(word(text.substr(i, WordBytes)));
        absorb(word(text.substr(whole)) | (static_cast<std::uint64_t>(text.size()) << 56U));
        m_v2 ^= Output128Constant;
        rounds(FinalRounds);
        const std::uint64_t low = m_v0 ^ m_v1 ^ m_v2 ^ m_v3;
        m_v1 ^= SecondHalfConstant;
        rounds(FinalRounds);
        return {m_v0 ^ m_v1 ^ m_v2 ^ m_v3, low};
    }

private:
    static constexpr std::size_t WordBytes = 8;
    static constexpr int WordRounds = 2;
    static constexpr int FinalRounds = 4;
    static constexpr std::uint64_t Output128Constant = 0xee;
    static constexpr std::uint64_t SecondHalfConstant = 0xdd;

    static std::uint64_t word(std::string_view bytes) noexcept
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8U * i);
        return value;
    }

    void absorb(std::uint64_t value) noexcept
    {
        m_v3 ^= value;
        rounds(WordRounds);
        m_v0 ^= value;
    }

    void rounds(int count) noexcept
    {
        for (int i = 0; i < count; ++i)
            round();
    }

    void round() noexcept
    {
        m_v0 += m_v1;
        m_v1 = rotatedLeft(m_v1, 13) ^ m_v0;
        m_v0 = rotatedLeft(m_v0, 32);
        m_v2 += m_v3;
        m_v3 = rotatedLeft(m_v3, 16) ^ m_v2;
        m_v0 += m_v3;
        m_v3 = rotatedLeft(m_v3, 21) ^ m_v0;
        m_v2 += m_v1;
        m_v1 = rotatedLeft(m_v1, 17) ^ m_v2;
        m_v2 = rotatedLeft(m_v2, 32);
    }

    std::uint64_t m_v0;
    std::uint64_t m_v1;
    std::uint64_t m_v2;
    std::uint64_t m_v3;
};

} // namespace

KeyFingerprint fingerprintOf(std::string_view text, const HashSecret &secret) noexcept
{
    return SipHash(secret).digest(text);
}

std::uint64_t bodyDigest(std::string_view body, const HashSecret &secret) noexcept
{
    return fingerprintOf(body, secret).low;
}

bool KeyFingerprint::operator==(const KeyFingerprint &other) const noexcept
{
    return high == other.high && low == other.low;
}

bool KeyFingerprint::operator!=(const KeyFingerprint &other) const noexcept
{
    return !(*this == other);
}

} // namespace anvilmill
