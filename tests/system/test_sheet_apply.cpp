#include "anvilmill/clock.h"
#include "commandline.h"
#include "platform/platformstandin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

using anvilmill::SystemClock;
using anvilmill::daemon::PlatformStandIn;

namespace {

/// Exit code and output of a command.
struct CommandResult
{
    int code = 0;
    std::string out;
    std::string err;
};

CommandResult run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "anvilmill");
    std::ostringstream out;
    std::ostringstream err;
    std::streambuf *previousOut = std::cout.rdbuf(out.rdbuf());
    std::streambuf *previousErr = std::cerr.rdbuf(err.rdbuf());
    const int code = anvilmill::tools::runCommandLine(arguments);
    std::cout.rdbuf(previousOut);
    std::cerr.rdbuf(previousErr);
    return {code, out.str(), err.str()};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string Sample = ANVILMILL_SOURCE_DIR "/docs/sample-sheet.csv";

} // namespace

class SheetApplyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetApplyTest);
    CPPUNIT_TEST(applyThenHistoryThenDrain);
    CPPUNIT_TEST(unreachablePlatformIsUnavailable);
    CPPUNIT_TEST(staleBaseIsAConflict);
    CPPUNIT_TEST(missingPlatformIsAUsageError);
    CPPUNIT_TEST_SUITE_END();

public:
    void applyThenHistoryThenDrain()
    {
        const SystemClock clock;
        const PlatformStandIn platform("127.0.0.1:0", clock);
        const std::string address = platform.address();
        const CommandResult applied = run({"sheet", "apply", Sample, "--platform", address});
        CPPUNIT_ASSERT_EQUAL(0, applied.code);
        CPPUNIT_ASSERT(contains(applied.out, "applied revision=1 "));
        CPPUNIT_ASSERT(contains(applied.out, "+ service swarm-alert: size 120"));
        CPPUNIT_ASSERT(contains(run({"sheet", "apply", Sample, "-p", address}).out,
                                "unchanged revision=1"));
        const CommandResult drained = run({"drain", "bole/entry-1", "-p", address});
        CPPUNIT_ASSERT_EQUAL(0, drained.code);
        CPPUNIT_ASSERT(contains(drained.out, "+ stop bole/entry-1: role entry-host"));
        const CommandResult cancelled = run({"drain", "bole/entry-1", "--cancel", "-p", address});
        CPPUNIT_ASSERT(contains(cancelled.out, "- stop bole/entry-1"));
        const CommandResult history = run({"sheet", "history", "-p", address});
        CPPUNIT_ASSERT_EQUAL(0, history.code);
        CPPUNIT_ASSERT(contains(history.out, "+9 -0 ~0"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), history.out.find("3 "));
    }

    void unreachablePlatformIsUnavailable()
    {
        const SystemClock clock;
        PlatformStandIn platform("127.0.0.1:0", clock);
        platform.faults().isDown = true;
        const CommandResult applied = run({"sheet", "apply", Sample, "-p", platform.address()});
        CPPUNIT_ASSERT_EQUAL(4, applied.code);
        CPPUNIT_ASSERT(contains(applied.err, "not applied: the platform did not answer"));
        CPPUNIT_ASSERT_EQUAL(4, run({"sheet", "history", "-p", platform.address()}).code);
    }

    void staleBaseIsAConflict()
    {
        const SystemClock clock;
        const PlatformStandIn platform("127.0.0.1:0", clock);
        CPPUNIT_ASSERT_EQUAL(0, run({"drain", "bole/entry-1", "-p", platform.address()}).code);
        const CommandResult stale =
                run({"sheet", "apply", Sample, "--base", "0", "-p", platform.address()});
        CPPUNIT_ASSERT_EQUAL(1, stale.code);
        CPPUNIT_ASSERT(contains(stale.err, "conflict: revision 1 was accepted first"));
        CPPUNIT_ASSERT(contains(stale.err, "- stop bole/entry-1"));
    }

    void missingPlatformIsAUsageError()
    {
        const CommandResult result = run({"sheet", "apply", Sample});
        CPPUNIT_ASSERT_EQUAL(2, result.code);
        CPPUNIT_ASSERT(contains(result.err, "platform"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetApplyTest);
