#include "inforcewait.h"

#include "anvilmill/manualclock.h"
#include "fakes/scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace anvilmill::tools;
using std::chrono::seconds;
using wire::configuration::InForceReport;

namespace {

class FixedHostList final : public HostList
{
public:
    std::vector<ListedHost> listed;
    bool isDown = false;

    void add(const std::string &dataCentre, const std::string &name)
    {
        ListedHost host;
        host.role = ListedHost::Role::EntryHost;
        host.dataCentre = dataCentre;
        host.name = name;
        listed.push_back(host);
    }

    [[nodiscard]] HostListReply hosts(const std::string & /*dataCentre*/,
                                      Duration /*timeout*/) override
    {
        if (isDown)
            return {CallOutcome::Unreachable, {}, "down"};
        return {CallOutcome::Done, listed, ""};
    }
};

InForceReport reportOf(const std::string &dataCentre, std::int64_t revision,
                       const std::vector<std::string> &hosts)
{
    InForceReport report;
    report.dataCentre = dataCentre;
    report.reporter = hosts.front();
    report.revision = revision;
    report.highestRevision = revision;
    report.storeRevision = revision;
    report.hosts = hosts;
    return report;
}

struct Fixture
{
    fakes::ScriptedStore store;
    RevisionStore revisions{store, [](Duration) {}};
    FixedHostList hosts;

    Fixture()
    {
        hosts.add("bole", "entry-1");
        hosts.add("bole", "entry-2");
        hosts.add("piassa", "entry-3");
    }

    void report(const InForceReport &report) { CPPUNIT_ASSERT(revisions.writeReport(report)); }

    std::string missing(Revision revision)
    {
        std::string text;
        for (const NotInForce &each : findNotInForce(revisions, hosts, revision))
            text += each.where + ": " + each.reason + "\n";
        return text;
    }
};

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class InForceWaitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InForceWaitTest);
    CPPUNIT_TEST(noHostIsMissingOnceAllReport);
    CPPUNIT_TEST(everyMissingHostIsReportedWithItsReason);
    CPPUNIT_TEST(unreadableHostListIsReported);
    CPPUNIT_TEST(highestRevisionIsTheMaximumOverDataCentres);
    CPPUNIT_TEST(waitEndsWhenInForceOrOnTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void noHostIsMissingOnceAllReport()
    {
        Fixture f;
        f.report(reportOf("bole", 5, {"entry-1", "entry-2"}));
        f.report(reportOf("piassa", 6, {"entry-3"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), f.missing(5));
    }

    void everyMissingHostIsReportedWithItsReason()
    {
        Fixture f;
        f.hosts.add("merkato", "entry-9");
        InForceReport bole = reportOf("bole", 5, {"entry-1"});
        bole.lagging.push_back({"entry-2", "it holds another revision", 4});
        f.report(bole);
        InForceReport piassa = reportOf("piassa", 3, {"entry-4"});
        piassa.problem = "the platform was restored";
        f.report(piassa);
        const std::string text = f.missing(5);
        CPPUNIT_ASSERT(has(text, "bole/entry-2: it acts on revision 4; it holds another revision"));
        CPPUNIT_ASSERT(has(text, "piassa: its last report, by entry-4, says that it acts on "
                                 "revision 3; the platform was restored"));
        CPPUNIT_ASSERT(has(text, "piassa/entry-3: the platform lists it as live, but"));
        CPPUNIT_ASSERT(has(text, "merkato: it has not reported"));
        CPPUNIT_ASSERT(!has(text, "entry-1:"));
    }

    void unreadableHostListIsReported()
    {
        Fixture f;
        f.hosts.isDown = true;
        CPPUNIT_ASSERT(has(f.missing(1), "platform: the list of hosts can't be read: down"));
    }

    void highestRevisionIsTheMaximumOverDataCentres()
    {
        Fixture f;
        CPPUNIT_ASSERT_EQUAL(Revision(0), highestInForce(f.revisions, f.hosts));
        f.report(reportOf("bole", 5, {"entry-1"}));
        f.report(reportOf("piassa", 7, {"entry-3"}));
        CPPUNIT_ASSERT_EQUAL(Revision(7), highestInForce(f.revisions, f.hosts));
    }

    void waitEndsWhenInForceOrOnTimeout()
    {
        Fixture f;
        ManualClock clock;
        f.report(reportOf("bole", 5, {"entry-1", "entry-2"}));
        int pauses = 0;
        const auto pause = [&](Duration duration) {
            clock.advance(duration);
            if (++pauses == 3)
                f.report(reportOf("piassa", 5, {"entry-3"}));
        };
        CPPUNIT_ASSERT(waitForForce(f.revisions, f.hosts, 5, clock, pause, seconds(13)).empty());
        CPPUNIT_ASSERT_EQUAL(3, pauses);
        const auto missing = waitForForce(f.revisions, f.hosts, 6, clock, pause, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), missing.size());
        CPPUNIT_ASSERT_EQUAL(3 + 8, pauses);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InForceWaitTest);
