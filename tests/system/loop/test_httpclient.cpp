#include "fakes/unusedport.h"
#include "loop/httpclient.h"
#include "loop/httpserver.h"
#include "loop/timerqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::unusedEndpoint;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpLoopTest);
    CPPUNIT_TEST(callsReusePersistentConnection);
    CPPUNIT_TEST(timedOutCallEndsAsNoResponse);
    CPPUNIT_TEST(unansweredCallEndsBeforeItsTimeout);
    CPPUNIT_TEST(responseTimeoutDoesNotLimitTheBody);
    CPPUNIT_TEST(unopenableConnectionEndsAsNotSent);
    CPPUNIT_TEST(clientDisconnectIsDetected);
    CPPUNIT_TEST(clientDisconnectIsKnownBeforeItIsReported);
    CPPUNIT_TEST(tooLargeBodyIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        m_results.clear();
    }

    void tearDown() override
    {
        m_server.reset();
        m_client.reset();
        m_timers->clear();
        m_timers.reset();
        m_loop.reset();
    }

    void callsReusePersistentConnection()
    {
        serve([](const auto &exchange) { exchange->respond({200, exchange->request().body, {}}); });
        for (const char *const body : {"one", "two", "three"}) {
            send(body, seconds(60));
            waitForResults(m_results.size() + 1);
            CPPUNIT_ASSERT_EQUAL(std::string(body), m_results.back().body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client->connections());
    }

    void timedOutCallEndsAsNoResponse()
    {
        std::vector<std::shared_ptr<HttpExchange>> held;
        serve([&](const auto &exchange) { held.push_back(exchange); });
        send("x", milliseconds(50));
        waitForResults(1);
        CPPUNIT_ASSERT(m_results.back().outcome == HttpOutcome::NoResponse);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->connections());
    }

    void unansweredCallEndsBeforeItsTimeout()
    {
        std::vector<std::shared_ptr<HttpExchange>> held;
        serve([&](const auto &exchange) { held.push_back(exchange); });
        send("x", seconds(600), milliseconds(50));
        waitForResults(1);
        CPPUNIT_ASSERT(m_results.back().outcome == HttpOutcome::NoResponse);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->connections());
    }

    void responseTimeoutDoesNotLimitTheBody()
    {
        tcp::acceptor acceptor(*m_loop, tcp::endpoint(tcp::v4(), 0));
        const tcp::endpoint address(boost::asio::ip::make_address_v4("127.0.0.1"),
                                    acceptor.local_endpoint().port());
        tcp::socket connection(*m_loop);
        acceptor.async_accept(connection, [&](const boost::system::error_code &) {
            boost::asio::write(connection,
                               boost::asio::buffer(std::string(
                                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")));
            m_timers->after(milliseconds(2500), [&] {
                boost::asio::write(connection, boost::asio::buffer(std::string("b")));
            });
        });
        m_client = std::make_unique<HttpClient>(*m_loop, *m_timers, address, HttpClientLimits{});
        send("x", seconds(600), seconds(2));
        waitForResults(1);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_results.back().body);
    }

    // Guards against lumenfold-mill trouble-1: the SYN of a connection was lost, and the call
    // waited for the connection as long as for its response.
    void unopenableConnectionEndsAsNotSent()
    {
        tcp::acceptor full(*m_loop, tcp::endpoint(tcp::v4(), 0));
        full.listen(0);
        const tcp::endpoint address(boost::asio::ip::make_address_v4("127.0.0.1"),
                                    full.local_endpoint().port());
        // An accept queue of this length holds one or two connections; further SYNs are dropped.
        std::vector<std::unique_ptr<tcp::socket>> queued;
        for (int i = 0; i < 4; ++i) {
            queued.push_back(std::make_unique<tcp::socket>(*m_loop));
            queued.back()->async_connect(address, [](const boost::system::error_code &) {});
        }
        m_loop->run_for(milliseconds(200));
        m_client = std::make_unique<HttpClient>(*m_loop, *m_timers, address, HttpClientLimits{});
        send("x", seconds(600));
        waitForResults(1);
        CPPUNIT_ASSERT(m_results.back().outcome == HttpOutcome::NotSent);
    }

    void clientDisconnectIsDetected()
    {
        bool isDisconnected = false;
        serve([&](const auto &exchange) {
            exchange->onClientDisconnected([&] { isDisconnected = true; });
            m_heldExchange = exchange;
        });
        send("x", seconds(600));
        waitFor([&] { return m_heldExchange != nullptr; });
        m_client.reset();
        waitFor([&] { return isDisconnected; });
        m_heldExchange.reset();
    }

    // The host of a job asks before it starts a task: the loop may have other events to handle before the
    // disconnect.
    void clientDisconnectIsKnownBeforeItIsReported()
    {
        bool isReported = false;
        serve([&](const auto &exchange) {
            exchange->onClientDisconnected([&] { isReported = true; });
            m_heldExchange = exchange;
        });
        send("x", seconds(600));
        waitFor([&] { return m_heldExchange != nullptr; });
        CPPUNIT_ASSERT(!m_heldExchange->isClientDisconnected());
        m_client.reset();
        CPPUNIT_ASSERT(m_heldExchange->isClientDisconnected());
        CPPUNIT_ASSERT(!isReported);
        waitFor([&] { return isReported; });
        CPPUNIT_ASSERT(m_heldExchange->isClientDisconnected());
        m_heldExchange.reset();
    }

    void tooLargeBodyIsRejected()
    {
        serve([](const auto &exchange) { exchange->respond({200, "", {}}); });
        send(std::string(300U << 10U, 'x'), seconds(60));
        waitForResults(1);
        CPPUNIT_ASSERT(m_results.back().status == 413
                       || m_results.back().outcome == HttpOutcome::NoResponse);
    }

private:
    void serve(HttpServer::Handler handler)
    {
        const tcp::endpoint address = unusedEndpoint();
        m_server = std::make_unique<HttpServer>(*m_loop, *m_timers, address, HttpServerLimits{},
                                                std::move(handler));
        m_client = std::make_unique<HttpClient>(*m_loop, *m_timers, address, HttpClientLimits{});
    }

    void send(const std::string &body, Duration timeout,
              std::optional<Duration> responseTimeout = std::nullopt)
    {
        m_client->send({"POST", "/x", body, {}, timeout, responseTimeout},
                       [this](const HttpCallResult &result) { m_results.push_back(result); });
    }

    void waitForResults(std::size_t count)
    {
        waitFor([&] { return m_results.size() >= count; });
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        const MonotonicTime limit = m_clock.now() + seconds(30);
        while (!isMet() && m_clock.now() < limit)
            m_loop->run_for(milliseconds(5));
        CPPUNIT_ASSERT(isMet());
    }

    SystemClock m_clock;
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_client;
    std::shared_ptr<HttpExchange> m_heldExchange;
    std::vector<HttpCallResult> m_results;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpLoopTest);
