#include "peercontext.h"

#include "log.h"
#include "peerframe.h"

namespace anvilmill::daemon {

namespace {

constexpr std::size_t MaxMessagesPerFrame = 512;

wire::peer::Frame frameOf(const std::vector<wire::peer::Message> &messages, std::size_t begin,
                          std::size_t end)
{
    wire::peer::Frame frame;
    const auto first = messages.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto last = messages.begin() + static_cast<std::ptrdiff_t>(end);
    frame.messages = std::vector<wire::peer::Message>(first, last);
    return frame;
}

void packRange(const std::vector<wire::peer::Message> &messages, std::size_t begin, std::size_t end,
               std::size_t maxBytes, std::vector<std::string> &frames,
               std::vector<std::size_t> &tooLarge)
{
    std::string bytes = encodeFrame(frameOf(messages, begin, end));
    if (bytes.size() <= maxBytes) {
        frames.push_back(std::move(bytes));
        return;
    }
    if (end - begin == 1) {
        tooLarge.push_back(begin);
        return;
    }
    const std::size_t middle = begin + (end - begin) / 2;
    packRange(messages, begin, middle, maxBytes, frames, tooLarge);
    packRange(messages, middle, end, maxBytes, frames, tooLarge);
}

} // namespace

PeerStatistics PeerCounters::asStatistics() const
{
    PeerStatistics statistics;
    statistics.bytesSent = bytesSent;
    statistics.bytesReceived = bytesReceived;
    statistics.framesSent = framesSent;
    statistics.framesReceived = framesReceived;
    statistics.messagesSent = messagesSent;
    statistics.messagesDropped = messagesDropped;
    statistics.malformed = malformed;
    statistics.connectionsOpened = connectionsOpened;
    statistics.connectionsSilent = connectionsSilent;
    statistics.connectionsRefused = connectionsRefused;
    statistics.connectionsUnread = connectionsUnread;
    return statistics;
}

PeerContext::PeerContext(HostIncarnation selfIncarnation, PeerOptions peerOptions,
                         const Clock &peerClock)
    : self(std::move(selfIncarnation))
    , options(std::move(peerOptions))
    , clock(peerClock)
    , random(std::hash<std::string>()(self.asString()))
{
    client.clear_access_channels(websocketpp::log::alevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    client.init_asio(&io);
    client.set_max_message_size(options.maxFrameBytes);
}

void PeerContext::dispatch(const PeerMessage &message)
{
    const auto handler = handlers.find(message.channel);
    if (handler == handlers.end()) {
        reportMalformed(message.from.asString(), "no handler for this channel");
        return;
    }
    try {
        handler->second(message);
    } catch (const std::exception &problem) {
        reportMalformed(message.from.asString(), problem.what());
    }
}

void PeerContext::reportMalformed(const std::string &from, const std::string &reason)
{
    ++counters.malformed;
    LogEvent("peer.malformed", LogEvent::Level::Warning).with("from", from).with("reason", reason);
}

std::vector<std::string> packFrames(const std::vector<wire::peer::Message> &messages,
                                    std::size_t maxBytes, std::vector<std::size_t> &tooLarge)
{
    std::vector<std::string> frames;
    for (std::size_t begin = 0; begin < messages.size(); begin += MaxMessagesPerFrame) {
        const std::size_t end = std::min(begin + MaxMessagesPerFrame, messages.size());
        packRange(messages, begin, end, maxBytes, frames, tooLarge);
    }
    return frames;
}

} // namespace anvilmill::daemon
