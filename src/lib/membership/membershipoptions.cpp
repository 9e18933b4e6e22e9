#include "anvilmill/membership/membershipoptions.h"

namespace anvilmill {

namespace {

// Leaves time for two rounds of heartbeats before the confirmation ends.
constexpr double ConfirmationWarningShare = 0.45;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

Duration MembershipOptions::authorityLength() const
{
    return scaled(leaseLength, 1 - 2 * clockDrift);
}

Duration MembershipOptions::authorityWait() const
{
    return scaled(leaseLength, 1 + 2 * clockDrift);
}

Duration MembershipOptions::promiseValidity(Duration length) const
{
    return scaled(length, 1 - 2 * clockDrift);
}

Duration MembershipOptions::confirmationWarning() const
{
    return scaled(authorityLength(), ConfirmationWarningShare);
}

} // namespace anvilmill
