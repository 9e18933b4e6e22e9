#include "anvilmill/randomsource.h"
#include "peer/peercontext.h"
#include "peer/peerframe.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace anvilmill::daemon;

namespace {

wire::peer::Message messageOfSize(std::size_t bytes)
{
    wire::peer::Message message;
    message.channel = 1;
    message.body = std::string(bytes, 'x');
    return message;
}

std::size_t messagesIn(const std::vector<std::string> &frames)
{
    std::size_t count = 0;
    for (const std::string &bytes : frames)
        count += decodeFrame(bytes)->messages->size();
    return count;
}

} // namespace

class PeerFrameTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerFrameTest);
    CPPUNIT_TEST(helloRoundTrips);
    CPPUNIT_TEST(deepNestingIsRefused);
    CPPUNIT_TEST(randomBytesNeverThrow);
    CPPUNIT_TEST(damagedFramesNeverThrow);
    CPPUNIT_TEST(queuedMessagesShareAFrame);
    CPPUNIT_TEST(framesRespectTheSizeLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void helloRoundTrips()
    {
        const HostIncarnation self{"bole", "entry-1", 7};
        wire::peer::Frame frame;
        frame.hello = makeHello(self, "127.0.0.1:7100");
        const auto decoded = decodeFrame(encodeFrame(frame));
        CPPUNIT_ASSERT(decoded.hasValue());
        CPPUNIT_ASSERT(asIncarnation(*decoded->hello) == self);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7100"), decoded->hello->address);
    }

    void deepNestingIsRefused()
    {
        constexpr char ArrayOfOne = '\x81';
        const auto decoded = decodeFrame(std::string(1'000'000, ArrayOfOne) + '\x01');
        CPPUNIT_ASSERT(!decoded.hasValue());
    }

    void randomBytesNeverThrow()
    {
        SeededRandom random(11);
        for (int round = 0; round < 2'000; ++round) {
            std::string bytes(random.nextBelow(64), '\0');
            for (char &byte : bytes)
                byte = static_cast<char>(random.next());
            const auto decoded = decodeFrame(bytes);
            CPPUNIT_ASSERT(decoded.hasValue() || !decoded.error().reason.empty());
        }
    }

    void damagedFramesNeverThrow()
    {
        SeededRandom random(12);
        wire::peer::Frame frame;
        frame.messages = std::vector<wire::peer::Message>(3, messageOfSize(20));
        const std::string whole = encodeFrame(frame);
        int refused = 0;
        for (int round = 0; round < 2'000; ++round) {
            std::string bytes = whole;
            bytes[random.nextBelow(bytes.size())] = static_cast<char>(random.next());
            refused += decodeFrame(bytes).hasValue() ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    void queuedMessagesShareAFrame()
    {
        std::vector<std::size_t> tooLarge;
        const std::vector<wire::peer::Message> messages(100, messageOfSize(20));
        const auto frames = packFrames(messages, 1U << 20U, tooLarge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, frames.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, messagesIn(frames));
    }

    void framesRespectTheSizeLimit()
    {
        constexpr std::size_t Limit = 1'000;
        std::vector<wire::peer::Message> messages(20, messageOfSize(200));
        messages[7] = messageOfSize(5'000);
        std::vector<std::size_t> tooLarge;
        const auto frames = packFrames(messages, Limit, tooLarge);
        for (const std::string &bytes : frames)
            CPPUNIT_ASSERT(bytes.size() <= Limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{19}, messagesIn(frames));
        CPPUNIT_ASSERT(tooLarge == std::vector<std::size_t>{7});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerFrameTest);
