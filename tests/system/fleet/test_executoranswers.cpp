#include "fakes/unusedport.h"
#include "fleetexecutors.h"
#include "loop/httpserver.h"
#include "loop/timerqueue.h"

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::formatEndpoint;
using anvilmill::tests::unusedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Malformed and unusual responses of executors, over real connections.
class ExecutorAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutorAnswersTest);
    CPPUNIT_TEST(rejectionWithoutReasonIsRefused);
    CPPUNIT_TEST(rejectionReasonsAreDistinguished);
    CPPUNIT_TEST(serverErrorLeavesTheOutcomeOfAStartUnknown);
    CPPUNIT_TEST(malformedHoldReplyIsUnanswered);
    CPPUNIT_TEST(deeplyNestedHoldReplyIsUnanswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        const boost::asio::ip::tcp::endpoint address = unusedEndpoint();
        m_registration.id = "e1";
        m_registration.address = formatEndpoint(address);
        m_server = std::make_unique<HttpServer>(*m_loop, *m_timers, address, HttpServerLimits{},
                                                [this](const auto &exchange) {
                                                    exchange->respond({m_status, m_body, {}});
                                                });
        m_executors = std::make_unique<fleet::FleetExecutors>(*m_loop, *m_timers);
    }

    void tearDown() override
    {
        m_executors.reset();
        m_server.reset();
        m_timers->clear();
        m_timers.reset();
        m_loop.reset();
    }

    void rejectionWithoutReasonIsRefused()
    {
        for (const char *const body : {R"({"reason":5})", R"({"reason":null})", R"({"reason":{}})",
                                       R"([])", "", "{", R"({"clock_ms":"x"})"})
            CPPUNIT_ASSERT(start(409, body) == StartAnswer::Refused);
    }

    void rejectionReasonsAreDistinguished()
    {
        CPPUNIT_ASSERT(start(409, R"({"reason":"fence"})") == StartAnswer::Fenced);
        CPPUNIT_ASSERT(start(409, R"({"reason":"old"})") == StartAnswer::Superseded);
        CPPUNIT_ASSERT(start(409, R"({"reason":"room"})") == StartAnswer::Refused);
        CPPUNIT_ASSERT(start(503, "") == StartAnswer::Refused);
        CPPUNIT_ASSERT(start(200, "") == StartAnswer::Started);
    }

    // The executor or a proxy before it may have failed after the run was started.
    void serverErrorLeavesTheOutcomeOfAStartUnknown()
    {
        for (const unsigned status : {500U, 502U, 504U})
            CPPUNIT_ASSERT(!replyTo(status, ""));
        for (const unsigned status : {400U, 421U, 429U, 503U})
            CPPUNIT_ASSERT(start(status, "") == StartAnswer::Refused);
    }

    // The lists of runs were copied by recursion: 400,000 levels ended the process.
    void deeplyNestedHoldReplyIsUnanswered()
    {
        const std::string nested = std::string(400000, '[') + std::string(400000, ']');
        CPPUNIT_ASSERT(hold(R"({"clock_ms":1,"active":[)" + nested + R"(],"ended_runs":[]})")
                       == HoldReply::Kind::Unanswered);
        CPPUNIT_ASSERT(hold(R"({"clock_ms":1,"active":[["t",1e300]],"ended_runs":[]})")
                       == HoldReply::Kind::Unanswered);
        CPPUNIT_ASSERT(start(409, R"({"reason":)" + nested + "}") == StartAnswer::Refused);
    }

    void malformedHoldReplyIsUnanswered()
    {
        for (const char *const body :
             {"", "[]", "{", R"({"clock_ms":"soon","active":[],"ended_runs":[]})",
              R"({"clock_ms":1,"active":[[]],"ended_runs":[]})",
              R"({"clock_ms":1,"active":[[5,"x"]],"ended_runs":[]})",
              R"({"clock_ms":1,"active":[],"ended_runs":[[1,"t",1]]})",
              R"({"clock_ms":1,"active":[],"ended_runs":[["a","t",1,"done",""]]})"})
            CPPUNIT_ASSERT(hold(body) == HoldReply::Kind::Unanswered);
        CPPUNIT_ASSERT(hold(R"({"clock_ms":1,"active":[],"ended_runs":[]})")
                       == HoldReply::Kind::Answered);
    }

private:
    StartAnswer start(unsigned status, const std::string &body)
    {
        const StartReply reply = replyTo(status, body);
        CPPUNIT_ASSERT(reply.has_value());
        return *reply;
    }

    StartReply replyTo(unsigned status, const std::string &body)
    {
        m_status = status;
        m_body = body;
        std::optional<StartReply> reply;
        m_executors->start(m_registration, {{"job.0.0.0", 1}, 7, std::nullopt}, "spec",
                           [&](StartReply answer) { reply = answer; });
        waitFor([&] { return reply.has_value(); });
        return *reply;
    }

    HoldReply::Kind hold(const std::string &body)
    {
        m_status = 200;
        m_body = body;
        std::optional<HoldReply> reply;
        HoldOrder order;
        order.answerTimeout = seconds(2);
        m_executors->hold(m_registration, order, [&](const HoldReply &answer) { reply = answer; });
        waitFor([&] { return reply.has_value(); });
        return reply->kind;
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        const MonotonicTime limit = m_clock.now() + seconds(5);
        while (!isMet() && m_clock.now() < limit)
            m_loop->run_for(milliseconds(5));
        CPPUNIT_ASSERT(isMet());
    }

    SystemClock m_clock;
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<fleet::FleetExecutors> m_executors;
    ExecutorRegistration m_registration;
    unsigned m_status = 200;
    std::string m_body;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorAnswersTest);
