#include "linebuffer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

using anvilmill::daemon::LineBuffer;

namespace {

constexpr std::size_t Capacity = 1000;

} // namespace

class LineBufferTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LineBufferTest);
    CPPUNIT_TEST(linesAreWrittenInOnePieceAndInOrder);
    CPPUNIT_TEST(addReportsOnlyTheFirstBufferedLine);
    CPPUNIT_TEST(slowReaderNeverBlocksAndDroppedLinesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(m_ends, O_CLOEXEC));
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }

    void tearDown() override
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    void linesAreWrittenInOnePieceAndInOrder()
    {
        LineBuffer buffer(m_ends[1], Capacity);
        buffer.add("a\n");
        buffer.add("b\n");
        CPPUNIT_ASSERT_EQUAL(std::string(), readAll());
        buffer.flush();
        CPPUNIT_ASSERT_EQUAL(std::string("a\nb\n"), readAll());
        CPPUNIT_ASSERT(buffer.isEmpty());
    }

    void addReportsOnlyTheFirstBufferedLine()
    {
        LineBuffer buffer(m_ends[1], Capacity);
        CPPUNIT_ASSERT(buffer.add("a\n"));
        CPPUNIT_ASSERT(!buffer.add("b\n"));
        buffer.flush();
        CPPUNIT_ASSERT(buffer.add("c\n"));
    }

    void slowReaderNeverBlocksAndDroppedLinesAreCounted()
    {
        // The pipe holds 64 KB and the buffer 1000 bytes, so some of these lines are dropped.
        LineBuffer buffer(m_ends[1], Capacity);
        const std::string line = std::string(99, 'x') + "\n";
        constexpr int Lines = 2000;
        for (int i = 0; i < Lines; ++i) {
            buffer.add(line);
            buffer.flush();
        }
        CPPUNIT_ASSERT(buffer.dropped() > 0);
        const std::size_t dropped = buffer.dropped();
        std::string text = readAll();
        buffer.flush();
        text += readAll();
        buffer.flush();
        text += readAll();
        const auto written =
                static_cast<std::size_t>(std::count(text.begin(), text.end(), 'x') / 99);
        CPPUNIT_ASSERT_EQUAL(std::size_t{Lines}, written + dropped);
        CPPUNIT_ASSERT(text.find("event=log.linesDropped lines=" + std::to_string(dropped))
                       != std::string::npos);
    }

private:
    std::string readAll()
    {
        std::string text;
        char part[4096];
        for (ssize_t length = 0; (length = ::read(m_ends[0], part, sizeof(part))) > 0;)
            text.append(part, static_cast<std::size_t>(length));
        return text;
    }

    int m_ends[2] = {-1, -1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineBufferTest);
