#include "anvilmill/clock.h"
#include "anvilmill/randomsource.h"
#include "fakes/eventually.h"
#include "fakes/freezingrelay.h"
#include "peer/peertransport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/WebSocket.h>

#include <atomic>
#include <future>
#include <mutex>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::test::eventually;

namespace {

constexpr std::chrono::seconds LongTimeout{20};

struct Peer
{
    explicit Peer(const std::string &host, PeerOptions options = {})
        : transport({"bole", host, 1}, std::move(options), clock)
    {
        transport.setHandler(PeerChannel::Admission, [this](const PeerMessage &message) {
            ++received;
            if (message.body == "throw")
                throw std::runtime_error("bad message");
            transport.reply(message, message.body);
        });
    }

    [[nodiscard]] PeerReply request(const PeerTarget &target, const nlohmann::json &body,
                                    Duration timeout = LongTimeout)
    {
        std::promise<PeerReply> promise;
        transport.request(target, PeerChannel::Admission, body, timeout,
                          [&](const PeerReply &reply) { promise.set_value(reply); });
        return promise.get_future().get();
    }

    SystemClock clock;
    PeerTransport transport;
    std::atomic<int> received{0};
};

Poco::Net::WebSocket rawConnection(const std::string &address)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    Poco::Net::HTTPRequest request("GET", "/peer", "HTTP/1.1");
    Poco::Net::HTTPResponse response;
    return {session, request, response};
}

void sendRaw(const std::string &address, const std::string &bytes)
{
    Poco::Net::WebSocket socket = rawConnection(address);
    socket.sendFrame(bytes.data(), static_cast<int>(bytes.size()),
                     Poco::Net::WebSocket::FRAME_BINARY);
    try {
        // Reads the hello, then waits until the peer closes the connection.
        char buffer[4096];
        int flags = 0;
        while (socket.receiveFrame(buffer, sizeof buffer, flags) > 0) {
        }
    } catch (const Poco::Exception &) {
        // The peer may also reset the connection.
    }
}

} // namespace

class PeerTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(messageIdentifiesItsSender);
    CPPUNIT_TEST(eachRequestGetsItsOwnReply);
    CPPUNIT_TEST(messageForAnotherIncarnationIsNotSent);
    CPPUNIT_TEST(requestToUnreachablePeerIsNotSent);
    CPPUNIT_TEST(requestWithoutReplyIsReportedLost);
    CPPUNIT_TEST(malformedFramesCloseOnlyTheirConnection);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(connectionToRestartedPeerIsReopened);
    CPPUNIT_TEST(stopFailsOutstandingRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void messageIdentifiesItsSender()
    {
        Peer first("first");
        Peer second("second");
        std::promise<PeerMessage> arrived;
        second.transport.setHandler(PeerChannel::Dispatch, [&](const PeerMessage &message) {
            arrived.set_value(message);
        });
        first.transport.start();
        second.transport.start();
        CPPUNIT_ASSERT(first.transport.send({second.transport.address(), {}}, PeerChannel::Dispatch,
                                            {{"slots", 3}}));
        const PeerMessage message = arrived.get_future().get();
        CPPUNIT_ASSERT(message.from == first.transport.self());
        CPPUNIT_ASSERT_EQUAL(first.transport.address(), message.fromAddress);
        CPPUNIT_ASSERT(message.body.at("slots") == 3);
    }

    void eachRequestGetsItsOwnReply()
    {
        constexpr int Requests = 500;
        Peer first("first");
        Peer second("second");
        first.transport.start();
        second.transport.start();
        std::atomic<int> matching{0};
        std::atomic<int> ended{0};
        for (int number = 0; number < Requests; ++number) {
            first.transport.request({second.transport.address(), {}}, PeerChannel::Admission,
                                    number, LongTimeout, [&, number](const PeerReply &reply) {
                                        matching += reply.body == number ? 1 : 0;
                                        ++ended;
                                    });
        }
        CPPUNIT_ASSERT(eventually([&] { return ended == Requests; }));
        CPPUNIT_ASSERT_EQUAL(Requests, matching.load());
    }

    void messageForAnotherIncarnationIsNotSent()
    {
        Peer first("first");
        Peer second("second");
        first.transport.start();
        second.transport.start();
        const HostIncarnation replaced{"bole", "second", 99};
        const PeerReply reply = first.request({second.transport.address(), replaced}, 1);
        CPPUNIT_ASSERT(reply.outcome == PeerReply::Outcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(0, second.received.load());
    }

    void requestToUnreachablePeerIsNotSent()
    {
        Peer first("first");
        first.transport.start();
        std::string unused;
        {
            Peer stopped("gone");
            stopped.transport.start();
            unused = stopped.transport.address();
        }
        const PeerReply reply = first.request({unused, {}}, 1);
        CPPUNIT_ASSERT(reply.outcome == PeerReply::Outcome::NotSent);
    }

    void requestWithoutReplyIsReportedLost()
    {
        Peer first("first");
        Peer second("second");
        second.transport.setHandler(PeerChannel::Admission, [](const PeerMessage &) {});
        first.transport.start();
        second.transport.start();
        const PeerReply reply =
                first.request({second.transport.address(), {}}, 1, std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(reply.outcome == PeerReply::Outcome::Lost);
    }

    void malformedFramesCloseOnlyTheirConnection()
    {
        Peer first("first");
        Peer second("second");
        first.transport.start();
        second.transport.start();
        const std::string address = second.transport.address();
        CPPUNIT_ASSERT(first.request({address, {}}, 1).outcome == PeerReply::Outcome::Answered);
        SeededRandom random(5);
        for (int round = 0; round < 20; ++round) {
            std::string bytes(1 + random.nextBelow(200), '\x81');
            for (std::size_t i = round % 2; i < bytes.size(); i += 2)
                bytes[i] = static_cast<char>(random.next());
            sendRaw(address, bytes);
        }
        CPPUNIT_ASSERT(eventually([&] { return second.transport.statistics().malformed >= 20; }));
        CPPUNIT_ASSERT(first.transport.send({address, {}}, PeerChannel::Admission, "throw"));
        CPPUNIT_ASSERT(first.request({address, {}}, 2).outcome == PeerReply::Outcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, second.transport.statistics().malformed);
    }

    void silentConnectionIsReplaced()
    {
        PeerOptions options;
        options.pingInterval = std::chrono::milliseconds(50);
        options.silenceTimeout = std::chrono::milliseconds(300);
        Peer first("first", options);
        Peer second("second");
        first.transport.start();
        second.transport.start();
        test::FreezingRelay relay(second.transport.address());
        const PeerTarget target{relay.address(), {}};
        CPPUNIT_ASSERT(first.request(target, 1).outcome == PeerReply::Outcome::Answered);
        relay.freeze();
        const PeerReply lost = first.request(target, 2);
        CPPUNIT_ASSERT(lost.outcome == PeerReply::Outcome::Lost);
        CPPUNIT_ASSERT(first.request(target, 3).outcome == PeerReply::Outcome::Answered);
        CPPUNIT_ASSERT(first.transport.statistics().connectionsSilent >= 1);
        // The lost request was not sent again.
        CPPUNIT_ASSERT_EQUAL(2, second.received.load());
    }

    void connectionToRestartedPeerIsReopened()
    {
        Peer first("first");
        first.transport.start();
        PeerOptions options;
        {
            Peer second("second");
            second.transport.start();
            options.listenAddress = second.transport.address();
            CPPUNIT_ASSERT(first.request({options.listenAddress, {}}, 1).outcome
                           == PeerReply::Outcome::Answered);
        }
        Peer restarted("second", options);
        restarted.transport.start();
        CPPUNIT_ASSERT(eventually([&] {
            return first.request({options.listenAddress, {}}, 2).outcome
                   == PeerReply::Outcome::Answered;
        }));
    }

    void stopFailsOutstandingRequests()
    {
        Peer first("first");
        Peer second("second");
        second.transport.setHandler(PeerChannel::Admission, [](const PeerMessage &) {});
        first.transport.start();
        second.transport.start();
        std::atomic<int> ended{0};
        for (int number = 0; number < 10; ++number)
            first.transport.request({second.transport.address(), {}}, PeerChannel::Admission,
                                    number, LongTimeout, [&](const PeerReply &) { ++ended; });
        first.transport.stop();
        CPPUNIT_ASSERT_EQUAL(10, ended.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);
