#include "bytebudget.h"

#include <utility>

namespace anvilmill::daemon {

bool ByteBudget::replace(std::size_t bytes, std::size_t next) noexcept
{
    std::size_t held = m_held;
    do {
        if (next > bytes && held - bytes + next > m_limit)
            return false;
    } while (!m_held.compare_exchange_weak(held, held - bytes + next));
    return true;
}

ByteCharge::ByteCharge(std::shared_ptr<ByteBudget> budget)
    : m_budget(std::move(budget))
{
}

ByteCharge::~ByteCharge()
{
    release();
}

bool ByteCharge::resize(std::size_t bytes)
{
    if (m_budget && !m_budget->replace(m_bytes, bytes))
        return false;
    m_bytes = bytes;
    return true;
}

void ByteCharge::release()
{
    (void)resize(0);
}

} // namespace anvilmill::daemon
