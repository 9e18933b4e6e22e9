#include "anvilmill/objectives/objective.h"

#include <algorithm>
#include <functional>

namespace anvilmill {

const std::vector<BurnRule> &burnRules()
{
    using wire::burn::Severity;
    static const std::vector<BurnRule> rules = {
            {Severity::Page, 720, 8640, 14.4},
            {Severity::Page, 120, 1440, 6},
            {Severity::Ticket, 10, 120, 1},
    };
    return rules;
}

const std::vector<int> &burnWindowParts()
{
    static const std::vector<int> parts = [] {
        std::vector<int> found = {1};
        for (const BurnRule &rule : burnRules()) {
            found.push_back(rule.longPart);
            found.push_back(rule.shortPart);
        }
        std::sort(found.begin(), found.end());
        found.erase(std::unique(found.begin(), found.end()), found.end());
        return found;
    }();
    return parts;
}

} // namespace anvilmill
