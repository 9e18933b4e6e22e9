#pragma once

#include "anvilmill/clock.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief A serialized HTTP response, sent by the host that made it or forwarded by another one.
struct RenderedAnswer
{
    int status = Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    std::string contentType;
    std::string body;
    std::optional<Duration> retryAfter;
};

void send(Poco::Net::HTTPServerResponse &response, const RenderedAnswer &answer);

} // namespace anvilmill::daemon
