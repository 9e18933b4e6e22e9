#include "anvilmill/membership/datacentredirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using std::chrono::hours;

namespace {

wire::peer::HostSummary host(const std::string &name)
{
    wire::peer::HostSummary summary;
    summary.host = name;
    summary.incarnation = 1;
    summary.address = name + ":7100";
    return summary;
}

} // namespace

class DataCentreDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DataCentreDirectoryTest);
    CPPUNIT_TEST(laterSummaryReplacesEarlier);
    CPPUNIT_TEST(revisionIncreasesWhenTheNextWritersClockIsBehind);
    CPPUNIT_TEST(unchangedHostsKeepTheRevision);
    CPPUNIT_TEST(equalContentsHaveEqualDigests);
    CPPUNIT_TEST_SUITE_END();

public:
    void laterSummaryReplacesEarlier()
    {
        DataCentreDirectory writer;
        DataCentreDirectory reader;
        writer.update("bole", 1, {host("a")}, m_now);
        const auto first = writer.all().front();
        writer.update("bole", 2, {host("a"), host("b")}, m_now + hours(1));
        CPPUNIT_ASSERT(reader.merge(writer.all().front()));
        CPPUNIT_ASSERT(!reader.merge(first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.find("bole")->hosts.size());
    }

    void revisionIncreasesWhenTheNextWritersClockIsBehind()
    {
        DataCentreDirectory first;
        first.update("bole", 1, {host("a")}, m_now);
        DataCentreDirectory second;
        CPPUNIT_ASSERT(second.merge(first.all().front()));
        second.update("bole", 1, {host("b")}, m_now - hours(5));
        CPPUNIT_ASSERT(first.merge(second.all().front()));
    }

    void unchangedHostsKeepTheRevision()
    {
        DataCentreDirectory directory;
        directory.update("bole", 1, {host("a")}, m_now);
        const std::int64_t revision = directory.revision("bole");
        directory.update("bole", 1, {host("a")}, m_now + hours(1));
        CPPUNIT_ASSERT_EQUAL(revision, directory.revision("bole"));
    }

    void equalContentsHaveEqualDigests()
    {
        DataCentreDirectory one;
        DataCentreDirectory other;
        one.update("bole", 1, {host("a")}, m_now);
        one.update("piassa", 1, {host("p")}, m_now);
        CPPUNIT_ASSERT(one.digest() != other.digest());
        for (const auto &summary : one.all())
            CPPUNIT_ASSERT(other.merge(summary));
        CPPUNIT_ASSERT_EQUAL(one.digest(), other.digest());
    }

private:
    const WallTime m_now{hours(24 * 365 * 50)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataCentreDirectoryTest);
