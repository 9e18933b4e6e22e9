#include "anvilmill/history/historyevent.h"

namespace anvilmill {

std::string asLine(const HistoryEvent &event)
{
    return nlohmann::json(event).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace anvilmill
