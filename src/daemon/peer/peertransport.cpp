#include "peertransport.h"

#include "log.h"
#include "peerlink.h"
#include "peerlistener.h"

#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace anvilmill::daemon {

namespace {

constexpr std::chrono::milliseconds TickInterval{25};

} // namespace

class PeerTransport::Impl
{
public:
    Impl(HostIncarnation self, PeerOptions options, const Clock &clock)
        : m_context(std::move(self), std::move(options), clock)
        , m_listener(m_context)
        , m_timer(m_context.io)
    {
    }

    void start();
    void stop();
    bool send(const PeerTarget &target, PeerOutgoing &outgoing);
    [[nodiscard]] std::shared_ptr<PeerLink> existingLink(const std::string &address) const;

    [[nodiscard]] PeerContext &context() noexcept { return m_context; }
    [[nodiscard]] PeerListener &listener() noexcept { return m_listener; }

private:
    void run();
    void tick();
    void closeAll();
    [[nodiscard]] std::shared_ptr<PeerLink> linkTo(const std::string &address);
    [[nodiscard]] std::vector<std::shared_ptr<PeerLink>> links() const;

    PeerContext m_context;
    PeerListener m_listener;
    boost::asio::steady_timer m_timer;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<PeerLink>> m_links;
    bool m_isStopped = false;
};

void PeerTransport::Impl::start()
{
    m_context.address = m_listener.listen();
    tick();
    m_thread = std::thread([this] { run(); });
}

void PeerTransport::Impl::run()
{
    // The pending timer keeps run() from returning before stop(). An exception must not end the
    // process.
    while (!m_context.io.stopped()) {
        try {
            m_context.io.run();
        } catch (const std::exception &problem) {
            m_context.reportMalformed("transport", problem.what());
        }
    }
}

void PeerTransport::Impl::tick()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &problem) {
        if (!problem)
            tick();
    });
    for (const auto &link : links())
        link->tick();
    m_listener.tick();
}

void PeerTransport::Impl::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    if (!m_thread.joinable())
        return;
    std::promise<void> isClosed;
    boost::asio::post(m_context.io, [&] {
        closeAll();
        isClosed.set_value();
    });
    isClosed.get_future().wait();
    m_context.io.stop();
    m_thread.join();
}

void PeerTransport::Impl::closeAll()
{
    m_timer.cancel();
    for (const auto &link : links())
        link->close();
    m_listener.close();
}

bool PeerTransport::Impl::send(const PeerTarget &target, PeerOutgoing &outgoing)
{
    const auto link = linkTo(target.address);
    if (link && link->push(outgoing))
        return true;
    ++m_context.counters.messagesDropped;
    return false;
}

std::shared_ptr<PeerLink> PeerTransport::Impl::linkTo(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return nullptr;
    std::shared_ptr<PeerLink> &link = m_links[address];
    if (!link)
        link = std::make_shared<PeerLink>(m_context, address);
    return link;
}

std::shared_ptr<PeerLink> PeerTransport::Impl::existingLink(const std::string &address) const
{
    const std::lock_guard lock(m_mutex);
    const auto link = m_links.find(address);
    return link == m_links.end() ? nullptr : link->second;
}

std::vector<std::shared_ptr<PeerLink>> PeerTransport::Impl::links() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<PeerLink>> all;
    all.reserve(m_links.size());
    for (const auto &entry : m_links)
        all.push_back(entry.second);
    return all;
}

PeerTransport::PeerTransport(HostIncarnation self, PeerOptions options, const Clock &clock)
    : m_impl(std::make_unique<Impl>(std::move(self), std::move(options), clock))
{
}

PeerTransport::~PeerTransport()
{
    stop();
}

void PeerTransport::setHandler(PeerChannel channel, PeerHandler handler)
{
    m_impl->context().handlers[channel] = std::move(handler);
}

void PeerTransport::setHostCheck(std::function<bool(const HostIncarnation &)> check)
{
    m_impl->context().hostCheck = std::move(check);
}

void PeerTransport::start()
{
    m_impl->start();
}

void PeerTransport::stop()
{
    m_impl->stop();
}

std::string PeerTransport::address() const
{
    return m_impl->context().address;
}

const HostIncarnation &PeerTransport::self() const noexcept
{
    return m_impl->context().self;
}

bool PeerTransport::send(const PeerTarget &target, PeerChannel channel, nlohmann::json body)
{
    PeerOutgoing outgoing;
    outgoing.message.channel = static_cast<std::int64_t>(channel);
    outgoing.message.body = std::move(body);
    outgoing.target = target.incarnation;
    outgoing.expiry = m_impl->context().clock.now() + m_impl->context().options.maxQueueAge;
    return m_impl->send(target, outgoing);
}

void PeerTransport::request(const PeerTarget &target, PeerChannel channel, nlohmann::json body,
                            Duration timeout, PeerReplyHandler onReply)
{
    PeerOutgoing outgoing;
    outgoing.message.channel = static_cast<std::int64_t>(channel);
    outgoing.message.body = std::move(body);
    outgoing.target = target.incarnation;
    outgoing.expiry = m_impl->context().clock.now() + timeout;
    outgoing.onReply = std::move(onReply);
    if (m_impl->send(target, outgoing))
        return;
    PeerReply reply;
    reply.outcome = PeerReply::Outcome::NotSent;
    reply.reason = "queue full or transport stopped";
    outgoing.onReply(reply);
}

void PeerTransport::reply(const PeerMessage &message, nlohmann::json body)
{
    m_impl->listener().reply(message, std::move(body));
}

std::optional<HostIncarnation> PeerTransport::incarnationAt(const std::string &address) const
{
    const auto link = m_impl->existingLink(address);
    return link ? link->incarnation() : std::nullopt;
}

PeerStatistics PeerTransport::statistics() const
{
    return m_impl->context().counters.asStatistics();
}

} // namespace anvilmill::daemon
