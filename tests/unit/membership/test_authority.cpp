#include "anvilmill/membership/authority.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using std::chrono::seconds;

class AuthorityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AuthorityTest);
    CPPUNIT_TEST(confirmationCountsFromTheHeartbeatItAnswers);
    CPPUNIT_TEST(promisesOfAllOthersAreNeeded);
    CPPUNIT_TEST(promiseCountsFromTheHeartbeatItAnswers);
    CPPUNIT_TEST(singleMemberCannotActByPromises);
    CPPUNIT_TEST(actingWaitsForEarlierMembers);
    CPPUNIT_TEST(lapseRequiresNewActivation);
    CPPUNIT_TEST(uncertainWriteSuspendsPromises);
    CPPUNIT_TEST_SUITE_END();

public:
    void confirmationCountsFromTheHeartbeatItAnswers()
    {
        m_authority.adopt(1, {}, {}, at(0));
        m_authority.confirm(at(1), at(3));
        CPPUNIT_ASSERT(m_authority.mayAct(at(3)));
        CPPUNIT_ASSERT(m_authority.mayAct(at(1) + m_options.authorityLength() - Duration(1)));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(1) + m_options.authorityLength()));
    }

    void promisesOfAllOthersAreNeeded()
    {
        adoptWithBoth(at(0));
        m_authority.promise(m_b, at(1), m_options.promiseLength, at(1));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(2)));
        m_authority.promise(m_c, at(1), m_options.promiseLength, at(1));
        CPPUNIT_ASSERT(m_authority.mayAct(at(2)));
    }

    void promiseCountsFromTheHeartbeatItAnswers()
    {
        adoptWithBoth(at(0));
        m_authority.promise(m_b, at(1), m_options.promiseLength, at(4));
        m_authority.promise(m_c, at(4), m_options.promiseLength, at(4));
        const MonotonicTime end = at(1) + m_options.promiseValidity(m_options.promiseLength);
        CPPUNIT_ASSERT(m_authority.mayAct(end - Duration(1)));
        CPPUNIT_ASSERT(!m_authority.mayAct(end));
    }

    void singleMemberCannotActByPromises()
    {
        m_authority.adopt(1, {}, {}, at(0));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(1)));
    }

    void actingWaitsForEarlierMembers()
    {
        m_authority.adopt(2, {m_b, m_c}, {m_c}, at(0));
        m_authority.confirm(at(0), at(0));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(1)));
        CPPUNIT_ASSERT(m_authority.isWaitingForMembers(at(1)));
        m_authority.acknowledge(m_b, at(0) - Duration(1));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(1)));
        m_authority.acknowledge(m_b, at(0));
        CPPUNIT_ASSERT(m_authority.mayAct(at(1)));
    }

    void lapseRequiresNewActivation()
    {
        m_authority.adopt(2, {m_b}, {}, at(0));
        m_authority.acknowledge(m_b, at(0));
        m_authority.confirm(at(0), at(0));
        m_authority.confirm(at(99), at(100));
        CPPUNIT_ASSERT(!m_authority.mayAct(at(100)));
        m_authority.acknowledge(m_b, at(100));
        CPPUNIT_ASSERT(m_authority.mayAct(at(100)));
    }

    void uncertainWriteSuspendsPromises()
    {
        adoptWithBoth(at(0));
        m_authority.promise(m_b, at(1), m_options.promiseLength, at(1));
        m_authority.promise(m_c, at(1), m_options.promiseLength, at(1));
        m_authority.allowPromises(false);
        CPPUNIT_ASSERT(!m_authority.mayAct(at(2)));
        m_authority.allowPromises(true);
        CPPUNIT_ASSERT(m_authority.mayAct(at(2)));
    }

private:
    static MonotonicTime at(int second) { return MonotonicTime(seconds(1'000 + second)); }

    void adoptWithBoth(MonotonicTime now)
    {
        m_authority.adopt(1, {m_b, m_c}, {}, now);
        m_authority.acknowledge(m_b, now);
        m_authority.acknowledge(m_c, now);
    }

    const MembershipOptions m_options{};
    const HostIncarnation m_b{"bole", "b", 1};
    const HostIncarnation m_c{"bole", "c", 1};
    Authority m_authority{m_options};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthorityTest);
