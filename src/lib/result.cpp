#include "anvilmill/result.h"

namespace anvilmill {

std::string SourcePosition::asString() const
{
    std::string text = file;
    if (line > 0)
        text += (text.empty() ? "" : ":") + std::to_string(line);
    if (line > 0 && column > 0)
        text += ":" + std::to_string(column);
    return text;
}

std::string Error::asString() const
{
    const std::string where = position.asString();
    return where.empty() ? reason : where + ": " + reason;
}

} // namespace anvilmill
