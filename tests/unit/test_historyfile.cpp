#include "commandline.h"
#include "fakes/temporaryfile.h"
#include "historyfile.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace anvilmill::tools;
using anvilmill::tests::TemporaryFile;

namespace {

const std::string Leaving = R"({"timeNs":5,"actor":"e1","event":"leaving"})";

} // namespace

class HistoryFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryFileTest);
    CPPUNIT_TEST(errorNamesTheMalformedLine);
    CPPUNIT_TEST(filesAreMergedByTime);
    CPPUNIT_TEST(recordedEventsAreReadBack);
    CPPUNIT_TEST(exitCodeDistinguishesViolationFromMalformedInput);
    CPPUNIT_TEST_SUITE_END();

public:
    void errorNamesTheMalformedLine()
    {
        const TemporaryFile file("malformed", Leaving + "\n{\"timeNs\":\n");
        auto reader = HistoryReader::open({file.path()});
        CPPUNIT_ASSERT(reader.hasValue());
        const auto next = reader->next();
        CPPUNIT_ASSERT(!next);
        CPPUNIT_ASSERT_EQUAL(2, next.error().position.line);
        CPPUNIT_ASSERT(next.error().asString().find(file.path() + ":2: ") == 0);
    }

    void filesAreMergedByTime()
    {
        const TemporaryFile first("first", Leaving + "\n");
        const TemporaryFile second("second", R"({"timeNs":3,"actor":"e2","event":"leaving"})");
        auto reader = HistoryReader::open({first.path(), second.path()});
        CPPUNIT_ASSERT(reader.hasValue());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), (*reader->next())->event.actor);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), (*reader->next())->event.actor);
        CPPUNIT_ASSERT(!*reader->next());
    }

    void recordedEventsAreReadBack()
    {
        const TemporaryFile file("recorded", "");
        {
            FileHistorySink sink(file.path());
            CPPUNIT_ASSERT(sink.isOpen());
            HistoryEvent event;
            event.actor = "e1";
            event.event = HistoryEventKind::Returning;
            sink.record(event);
        }
        auto reader = HistoryReader::open({file.path()});
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), (*reader->next())->event.actor);
    }

    void exitCodeDistinguishesViolationFromMalformedInput()
    {
        const TemporaryFile good("good", Leaving + "\n");
        const TemporaryFile broken(
                "broken", R"({"timeNs":1,"actor":"e1","event":"start","submission":"s","task":0})");
        const TemporaryFile malformed("nonsense", "nonsense\n");
        CPPUNIT_ASSERT_EQUAL(int{Success}, check(good));
        CPPUNIT_ASSERT_EQUAL(int{Failure}, check(broken));
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, check(malformed));
    }

private:
    static int check(const TemporaryFile &file)
    {
        return runCommandLine({"anvilmill", "check-history", file.path()});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryFileTest);
