#include "answerservice.h"

#include "caller/answers.h"

namespace anvilmill::daemon {

namespace {

using wire::answers::Operation;

AnswerReply asReply(const RenderedAnswer &answer)
{
    AnswerReply reply;
    reply.isKnown = true;
    reply.status = answer.status;
    reply.contentType = answer.contentType;
    reply.body = answer.body;
    if (answer.retryAfter)
        reply.retryAfterMs =
                std::chrono::ceil<std::chrono::milliseconds>(*answer.retryAfter).count();
    return reply;
}

AnswerReply unknownReply()
{
    AnswerReply reply;
    reply.isKnown = false;
    reply.status = 0;
    return reply;
}

AnswerReply statusReply(const EntryHost &host, const Submission &submission)
{
    return asReply(renderedJson(Poco::Net::HTTPResponse::HTTP_OK,
                                statusBody(submission, host.progress(submission))));
}

void handleRequest(PeerTransport &transport, EntryHost &host, const PeerMessage &message)
{
    const auto request = message.body.get<AnswerRequest>();
    const auto submission = host.find(request.submission);
    if (!submission)
        return transport.reply(message, unknownReply());
    if (request.operation == Operation::Cancel)
        host.cancel(*submission);
    if (request.operation != Operation::Answer)
        return transport.reply(message, statusReply(host, *submission));
    const bool isQueued = submission->whenEnded([&transport, message, submission] {
        transport.reply(message, asReply(outcomeAnswer(*submission, std::nullopt)));
    });
    if (isQueued)
        return;
    host.callerLimits().reached(limitcause::Waiters);
    transport.reply(message, asReply(rendered(tooManyRequests(true))));
}

} // namespace

void serveAnswers(PeerTransport &transport, EntryHost &host)
{
    transport.setHandler(PeerChannel::Answers, [&transport, &host](const PeerMessage &message) {
        handleRequest(transport, host, message);
    });
}

} // namespace anvilmill::daemon
