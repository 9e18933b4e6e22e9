#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Limits the retries of starts that executors refused.
///
/// Each start deposits a fraction of a retry; each refused start withdraws a whole one. While the
/// budget is exhausted, starts pause, so that refusals cannot multiply the messages.
///
/// Thread safety: one thread at a time.
class RetryBudget
{
public:
    /// \brief \p depositPerStart and \p maxBalance are in retries; the balance starts full.
    RetryBudget(double depositPerStart, double maxBalance) noexcept;

    void deposit() noexcept;

    /// \brief Withdraws one retry; returns false if the budget is exhausted.
    [[nodiscard]] bool tryWithdraw() noexcept;

private:
    double m_depositPerStart;
    double m_maxBalance;
    double m_balance;
};

} // namespace anvilmill
