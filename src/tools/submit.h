#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief An answer to one HTTP request.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// \brief Sends one request to an entry host. Throws Poco::Exception if it receives no answer.
[[nodiscard]] HttpAnswer callEntryHost(const std::string &address, const std::string &method,
                                       const std::string &path, const std::string &body = "",
                                       const std::string &key = "");

/// \brief `anvilmill submit`: submits one job and prints its whole answer.
[[nodiscard]] int runSubmit(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
