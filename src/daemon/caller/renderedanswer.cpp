#include "renderedanswer.h"

namespace anvilmill::daemon {

namespace {

/// Rounds up to whole seconds, the resolution of Retry-After, so that callers don't retry early.
std::string asRetryAfterSeconds(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

void send(Poco::Net::HTTPServerResponse &response, const RenderedAnswer &answer)
{
    if (answer.retryAfter)
        response.set("Retry-After", asRetryAfterSeconds(*answer.retryAfter));
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType(answer.contentType);
    response.sendBuffer(answer.body.data(), answer.body.size());
}

} // namespace anvilmill::daemon
