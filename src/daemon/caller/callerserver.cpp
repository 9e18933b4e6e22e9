#include "callerserver.h"

#include "callerhandler.h"
#include "connectionguard.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>

namespace anvilmill::daemon {

namespace {

using namespace Poco::Net;

/// Threads in addition to the connection limit, so that requests above it still get an answer.
constexpr int ExtraThreads = 16;
/// A body may take this many times as long as one pause within it.
constexpr int MaxBodyPauses = 10;

Duration millis(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

ConnectionTimes connectionTimes(const wire::settings::CallerSettings &settings)
{
    const Duration pause = millis(settings.receiveTimeoutMs);
    ConnectionTimes times{};
    // One pause before the first byte, and one within the header.
    times.header = 2 * pause;
    times.body = MaxBodyPauses * pause;
    times.idle = millis(settings.keepAliveTimeoutMs) + pause;
    times.unread = pause;
    times.slowBody = pause;
    return times;
}

Poco::Timespan asTimespan(Duration duration)
{
    return {std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

class CallerHandlerFactory final : public HTTPRequestHandlerFactory
{
public:
    CallerHandlerFactory(EntryHost &host, ConnectionGuard &guard, std::atomic<int> &open)
        : m_host(host)
        , m_guard(guard)
        , m_open(open)
    {
    }

    HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new CallerHandler(m_host, m_guard, m_open);
    }

private:
    EntryHost &m_host;
    ConnectionGuard &m_guard;
    std::atomic<int> &m_open;
};

} // namespace

struct CallerServer::State
{
    explicit State(EntryHost &entryHost)
        : host(entryHost)
    {
    }

    EntryHost &host;
    std::atomic<int> open{0};
    Poco::AutoPtr<ConnectionGuard> guard;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<HTTPServer> server;
    std::string address;
};

CallerServer::CallerServer(EntryHost &host)
    : m_state(std::make_unique<State>(host))
{
    const auto &settings = host.settings().caller;
    const ServerSocket socket(
            SocketAddress(settings.address, static_cast<Poco::UInt16>(settings.port)));
    m_state->address = socket.address().toString();
    const int threads = static_cast<int>(settings.maxConnections) + ExtraThreads;
    m_state->guard = new ConnectionGuard(host.clock(), static_cast<std::size_t>(threads),
                                         connectionTimes(settings), host.callerLimits());
    m_state->threads = std::make_unique<Poco::ThreadPool>(2, threads);
    auto *parameters = new HTTPServerParams;
    parameters->setMaxThreads(threads);
    parameters->setMaxQueued(static_cast<int>(settings.maxConnections));
    parameters->setTimeout(asTimespan(millis(settings.receiveTimeoutMs)));
    parameters->setKeepAliveTimeout(asTimespan(millis(settings.keepAliveTimeoutMs)));
    parameters->setMaxKeepAliveRequests(0);
    m_state->server = std::make_unique<HTTPServer>(
            new CallerHandlerFactory(host, *m_state->guard, m_state->open), *m_state->threads,
            socket, parameters);
    m_state->server->setConnectionFilter(m_state->guard);
    m_state->server->start();
}

CallerServer::~CallerServer()
{
    m_state->server->stopAll(false);
    m_state->threads->joinAll();
}

std::string CallerServer::address() const
{
    return m_state->address;
}

int CallerServer::openRequests() const noexcept
{
    return m_state->open;
}

} // namespace anvilmill::daemon
