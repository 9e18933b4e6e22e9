#include "anvilmill/membership/view.h"

#include <algorithm>
#include <tuple>

namespace anvilmill {

bool HostIncarnation::operator==(const HostIncarnation &other) const noexcept
{
    return incarnation == other.incarnation && host == other.host && dataCentre == other.dataCentre;
}

bool HostIncarnation::operator!=(const HostIncarnation &other) const noexcept
{
    return !(*this == other);
}

bool HostIncarnation::operator<(const HostIncarnation &other) const noexcept
{
    return std::tie(dataCentre, host, incarnation)
           < std::tie(other.dataCentre, other.host, other.incarnation);
}

std::string HostIncarnation::asString() const
{
    return dataCentre + "/" + host + "/" + std::to_string(incarnation);
}

bool View::contains(const HostIncarnation &host) const noexcept
{
    return std::find(members.begin(), members.end(), host) != members.end();
}

} // namespace anvilmill
