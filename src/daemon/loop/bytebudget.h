#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace anvilmill::daemon {

/// \brief Limits the bytes that all holders of a ByteCharge hold at one time.
///
/// Thread safety: all methods may be called from any thread.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }

private:
    friend class ByteCharge;

    /// Replaces a charge; returns false, and changes nothing, if a larger one exceeds the limit.
    [[nodiscard]] bool replace(std::size_t bytes, std::size_t next) noexcept;

    std::size_t m_limit;
    std::atomic<std::size_t> m_held{0};
};

/// \brief The share of a ByteBudget that one connection or job holds; released on destruction.
///
/// Thread safety: one thread at a time. The budget may be shared by several threads.
class ByteCharge
{
public:
    /// Without a budget, every charge succeeds.
    explicit ByteCharge(std::shared_ptr<ByteBudget> budget);
    ~ByteCharge();
    ByteCharge(const ByteCharge &) = delete;
    ByteCharge &operator=(const ByteCharge &) = delete;

    /// \brief Holds exactly \p bytes from now on. Returns false, and changes nothing, if the budget
    /// has not enough left; a smaller charge than before always succeeds.
    [[nodiscard]] bool resize(std::size_t bytes);

    /// \brief Holds \p bytes more. Returns false, and changes nothing, if the budget has not enough left.
    [[nodiscard]] bool add(std::size_t bytes) { return resize(m_bytes + bytes); }

    void release();

private:
    std::shared_ptr<ByteBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace anvilmill::daemon
