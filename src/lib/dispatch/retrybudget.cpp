#include "anvilmill/dispatch/retrybudget.h"

#include <algorithm>

namespace anvilmill {

RetryBudget::RetryBudget(double depositPerStart, double maxBalance) noexcept
    : m_depositPerStart(depositPerStart)
    , m_maxBalance(maxBalance)
    , m_balance(maxBalance)
{
}

void RetryBudget::deposit() noexcept
{
    m_balance = std::min(m_maxBalance, m_balance + m_depositPerStart);
}

bool RetryBudget::tryWithdraw() noexcept
{
    if (m_balance < 1.0)
        return false;
    m_balance -= 1.0;
    return true;
}

} // namespace anvilmill
