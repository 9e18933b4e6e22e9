#include "peerlink.h"

#include "log.h"
#include "peerframe.h"

#include <algorithm>
#include <cmath>

namespace anvilmill::daemon {

namespace {

constexpr int MaxBackoffDoublings = 10;

PeerReply failedReply(PeerReply::Outcome outcome, const std::string &reason)
{
    PeerReply reply;
    reply.outcome = outcome;
    reply.reason = reason;
    return reply;
}

} // namespace

PeerLink::PeerLink(PeerContext &context, std::string address)
    : m_context(context)
    , m_address(std::move(address))
    , m_outbox(context.options.maxQueuedMessages, [this] { scheduleFlush(); })
    , m_lastUse(context.clock.now())
{
}

bool PeerLink::push(PeerOutgoing &outgoing)
{
    return m_outbox.push(outgoing);
}

std::optional<HostIncarnation> PeerLink::incarnation() const
{
    const std::lock_guard lock(m_peerMutex);
    return m_peer;
}

void PeerLink::scheduleFlush()
{
    boost::asio::post(m_context.io, [self = weak_from_this()] {
        if (const auto link = self.lock())
            link->flush();
    });
}

void PeerLink::tick()
{
    dropExpired();
    expireRequests();
    checkConnection();
    const bool isWanted = !m_outbox.isEmpty();
    if (m_state == State::Backoff && m_context.clock.now() >= m_nextAttempt)
        m_state = State::Idle;
    if (m_state == State::Idle && isWanted)
        connect();
    else if (m_state == State::Ready && isWanted)
        flush();
}

void PeerLink::dropExpired()
{
    const bool isBroken = m_state == State::Backoff;
    for (PeerOutgoing &outgoing : m_outbox.takeExpired(m_context.clock.now(), isBroken))
        discard(outgoing, isBroken ? "no connection to the peer" : "message expired");
}

void PeerLink::expireRequests()
{
    const MonotonicTime now = m_context.clock.now();
    std::vector<PeerReplyHandler> expired;
    for (auto request = m_pending.begin(); request != m_pending.end();) {
        if (request->second.deadline > now) {
            ++request;
            continue;
        }
        expired.push_back(std::move(request->second.onReply));
        request = m_pending.erase(request);
    }
    for (const PeerReplyHandler &onReply : expired)
        onReply(failedReply(PeerReply::Outcome::Lost, "request timed out"));
}

void PeerLink::checkConnection()
{
    const MonotonicTime now = m_context.clock.now();
    const PeerOptions &options = m_context.options;
    const bool isOpening = m_state == State::Connecting || m_state == State::AwaitingHello;
    if (isOpening && now - m_stateSince > options.connectTimeout) {
        scheduleReconnect("connection attempt timed out");
        return;
    }
    if (m_state != State::Ready)
        return;
    if (now - m_lastReceived > options.silenceTimeout) {
        ++m_context.counters.connectionsSilent;
        disconnect("no data received from the peer");
        connect();
        return;
    }
    if (now - m_lastUse > options.idleTimeout && m_pending.empty()) {
        disconnect("idle");
        return;
    }
    if (now - std::max(m_lastReceived, m_lastPing) < options.pingInterval)
        return;
    WebSocketError ignored;
    m_connection->ping("", ignored);
    m_lastPing = now;
}

void PeerLink::connect()
{
    WebSocketError problem;
    m_connection = m_context.client.get_connection("ws://" + m_address + "/peer", problem);
    if (problem) {
        scheduleReconnect(problem.message());
        return;
    }
    const std::uint64_t generation = ++m_generation;
    m_state = State::Connecting;
    m_stateSince = m_context.clock.now();
    const auto ifCurrent = [self = weak_from_this(), generation](auto action) {
        return [self, generation, action](auto &&...arguments) {
            const auto link = self.lock();
            if (link && link->m_generation == generation)
                action(*link, arguments...);
        };
    };
    // An attempt that has timed out may still succeed later; its connection is closed then.
    m_connection->set_open_handler([self = weak_from_this(), generation,
                                    weak = std::weak_ptr(m_connection)](const auto &) {
        WebSocketError ignored;
        const auto link = self.lock();
        if (link && link->m_generation == generation)
            link->onOpen(generation);
        else if (const auto connection = weak.lock())
            connection->close(websocketpp::close::status::going_away, "", ignored);
    });
    m_connection->set_fail_handler(ifCurrent([](PeerLink &link, const auto &) {
        link.scheduleReconnect("connection attempt failed");
    }));
    m_connection->set_close_handler(ifCurrent(
            [](PeerLink &link, const auto &) { link.scheduleReconnect("connection closed"); }));
    m_connection->set_pong_handler(ifCurrent([](PeerLink &link, const auto &, const auto &) {
        link.m_lastReceived = link.m_context.clock.now();
    }));
    m_connection->set_message_handler(
            ifCurrent([](PeerLink &link, const auto &, const auto &message) {
                link.onFrame(message->get_payload());
            }));
    m_context.client.connect(m_connection);
}

void PeerLink::onOpen(std::uint64_t generation)
{
    m_state = State::AwaitingHello;
    m_lastReceived = m_context.clock.now();
    ++m_context.counters.connectionsOpened;
    disableNagle(*m_connection);
    wire::peer::Frame frame;
    frame.hello = makeHello(m_context.self, m_context.address);
    sendFrame(encodeFrame(frame));
    LogEvent("peer.connected", LogEvent::Level::Debug)
            .with("address", m_address)
            .with("attempt", generation);
}

void PeerLink::onFrame(const std::string &payload)
{
    m_lastReceived = m_context.clock.now();
    m_context.counters.bytesReceived += payload.size();
    ++m_context.counters.framesReceived;
    Result<wire::peer::Frame> frame = decodeFrame(payload);
    if (!frame) {
        m_context.reportMalformed(m_address, frame.error().reason);
        scheduleReconnect("malformed frame");
        return;
    }
    if (frame->hello)
        onHello(*frame->hello);
    if (m_state != State::Ready || !frame->messages)
        return;
    for (wire::peer::Message &message : *frame->messages)
        onReplyReceived(message);
}

void PeerLink::onHello(const wire::peer::Hello &hello)
{
    if (hello.protocol != PeerProtocol) {
        m_context.reportMalformed(m_address, "unsupported protocol version");
        scheduleReconnect("unsupported protocol version");
        return;
    }
    {
        const std::lock_guard lock(m_peerMutex);
        m_peer = asIncarnation(hello);
    }
    m_state = State::Ready;
    m_failedAttempts = 0;
    flush();
}

void PeerLink::onReplyReceived(wire::peer::Message &message)
{
    if (!message.reply.value_or(false) || !message.request)
        return;
    const auto pending = m_pending.find(*message.request);
    if (pending == m_pending.end())
        return;
    const PeerReplyHandler onReply = std::move(pending->second.onReply);
    m_pending.erase(pending);
    PeerReply reply;
    reply.outcome = PeerReply::Outcome::Answered;
    reply.body = std::move(message.body);
    reply.from = *m_peer;
    try {
        onReply(reply);
    } catch (const std::exception &problem) {
        m_context.reportMalformed(m_address, problem.what());
    }
}

void PeerLink::flush()
{
    if (m_state == State::Idle) {
        connect();
        return;
    }
    const std::size_t maxBuffered = m_context.options.maxFrameBytes;
    if (m_state != State::Ready || m_connection->get_buffered_amount() > maxBuffered)
        return;
    m_lastUse = m_context.clock.now();
    sendAll(m_outbox.takeAll());
}

void PeerLink::sendAll(std::vector<PeerOutgoing> outgoing)
{
    const MonotonicTime now = m_context.clock.now();
    std::vector<wire::peer::Message> messages;
    for (PeerOutgoing &item : outgoing) {
        if (item.expiry <= now || isForOtherIncarnation(item)) {
            discard(item, item.expiry <= now ? "message expired" : "peer has another incarnation");
            continue;
        }
        registerRequest(item);
        messages.push_back(std::move(item.message));
    }
    std::vector<std::size_t> tooLarge;
    for (const std::string &bytes : packFrames(messages, m_context.options.maxFrameBytes, tooLarge))
        sendFrame(bytes);
    m_context.counters.messagesSent += messages.size() - tooLarge.size();
    for (const std::size_t index : tooLarge) {
        ++m_context.counters.messagesDropped;
        const auto pending = m_pending.find(messages[index].request.value_or(0));
        if (pending == m_pending.end())
            continue;
        const PeerReplyHandler onReply = std::move(pending->second.onReply);
        m_pending.erase(pending);
        onReply(failedReply(PeerReply::Outcome::NotSent, "message too large"));
    }
}

void PeerLink::registerRequest(PeerOutgoing &outgoing)
{
    if (!outgoing.onReply)
        return;
    outgoing.message.request = ++m_lastRequest;
    m_pending[m_lastRequest] = {std::move(outgoing.onReply), outgoing.expiry};
}

void PeerLink::sendFrame(const std::string &bytes)
{
    // If sending fails, the close handler runs and handles the error.
    if (m_connection->send(bytes, websocketpp::frame::opcode::binary))
        return;
    m_context.counters.bytesSent += bytes.size();
    ++m_context.counters.framesSent;
}

bool PeerLink::isForOtherIncarnation(const PeerOutgoing &outgoing) const
{
    return outgoing.target && outgoing.target != m_peer;
}

void PeerLink::discard(PeerOutgoing &outgoing, const std::string &reason)
{
    ++m_context.counters.messagesDropped;
    if (outgoing.onReply)
        outgoing.onReply(failedReply(PeerReply::Outcome::NotSent, reason));
}

void PeerLink::disconnect(const std::string &reason)
{
    ++m_generation;
    if (m_connection && m_connection->get_state() == websocketpp::session::state::open)
        m_connection->terminate(WebSocketError());
    m_connection.reset();
    m_state = State::Idle;
    std::map<std::int64_t, Pending> lost;
    lost.swap(m_pending);
    for (auto &entry : lost)
        entry.second.onReply(failedReply(PeerReply::Outcome::Lost, reason));
}

void PeerLink::scheduleReconnect(const std::string &reason)
{
    disconnect(reason);
    const PeerOptions &options = m_context.options;
    const int doublings = std::min(m_failedAttempts++, MaxBackoffDoublings);
    const Duration delay = std::min(options.maxReconnectDelay,
                                    options.minReconnectDelay * (std::int64_t{1} << doublings));
    const double jitter = 0.5 + m_context.random.nextUnit() / 2;
    m_nextAttempt = m_context.clock.now() + std::chrono::duration_cast<Duration>(delay * jitter);
    m_state = State::Backoff;
    dropExpired();
}

void PeerLink::close()
{
    disconnect("transport stopped");
    for (PeerOutgoing &outgoing : m_outbox.takeAll())
        discard(outgoing, "transport stopped");
}

} // namespace anvilmill::daemon
