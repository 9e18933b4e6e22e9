#include "anvilmill/dispatch/coordinatordispatcher.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// FNV-1a with a final mix; independent of the platform, as all hosts must agree.
std::uint64_t hashOf(const std::string &name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char letter : name)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

std::string coordinatorOf(const std::vector<std::string> &members)
{
    return *std::max_element(members.begin(), members.end(),
                             [](const std::string &left, const std::string &right) {
                                 const std::uint64_t leftHash = hashOf(left);
                                 const std::uint64_t rightHash = hashOf(right);
                                 return leftHash != rightHash ? leftHash < rightHash : left < right;
                             });
}

} // namespace anvilmill
