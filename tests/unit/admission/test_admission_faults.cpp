#include "cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace anvilmill;
using namespace anvilmill::testing;

namespace {

constexpr std::size_t Submissions = 60;
constexpr std::uint64_t Seeds = 6;
constexpr std::uint64_t SeedsPerPair = 3;
constexpr std::uint64_t SeedsPerVariant = 5;

constexpr std::array<Fault, 11> AllFaults = {
        Fault::KillHost,          Fault::KillTwoHosts,    Fault::PauseHost,
        Fault::IsolateHost,       Fault::SlowNetwork,     Fault::DisconnectedDataCentre,
        Fault::LossyNetwork,      Fault::SilentExecutors, Fault::LostAnswers,
        Fault::RefusingExecutors, Fault::Overload};

std::vector<std::string> violationsOf(std::uint64_t seed, const std::set<Fault> &faults,
                                      Variant variant)
{
    Cluster cluster(seed, faults, variant);
    cluster.run(Submissions);
    // Without starts and answers, a run can't violate any guarantee.
    CPPUNIT_ASSERT(cluster.history().starts() > Submissions);
    CPPUNIT_ASSERT(cluster.history().answers() > Submissions / 4);
    return cluster.history().violations();
}

void assertNone(std::uint64_t seed, const std::set<Fault> &faults)
{
    std::string text = "seed " + std::to_string(seed) + " faults";
    for (const Fault fault : faults)
        text += " " + std::to_string(static_cast<int>(fault));
    const std::vector<std::string> violations = violationsOf(seed, faults, Variant::Claims);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(),
                                 violations.empty() ? std::string() : violations.front());
}

bool isDetected(Variant variant, const std::set<Fault> &faults, const std::string &violation)
{
    for (std::uint64_t seed = 1; seed <= SeedsPerVariant; ++seed) {
        for (const std::string &found : violationsOf(seed, faults, variant)) {
            if (found.find(violation) == 0)
                return true;
        }
    }
    return false;
}

} // namespace

class AdmissionFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionFaultsTest);
    CPPUNIT_TEST(noViolationsWithoutFaults);
    CPPUNIT_TEST(noViolationsWithSingleFaults);
    CPPUNIT_TEST(noViolationsWithPairsOfFaults);
    CPPUNIT_TEST(tablePerHostIsDetected);
    CPPUNIT_TEST(retryAfterSendIsDetected);
    CPPUNIT_TEST(refusalByNonOwnerIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    void noViolationsWithoutFaults()
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            assertNone(seed, {});
            Cluster cluster(seed, {}, Variant::Claims);
            cluster.run(Submissions);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.uncertainClaims());
        }
    }

    void noViolationsWithSingleFaults()
    {
        for (const Fault fault : AllFaults) {
            for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
                assertNone(seed, {fault});
        }
    }

    void noViolationsWithPairsOfFaults()
    {
        for (std::size_t i = 0; i < AllFaults.size(); ++i) {
            for (std::size_t j = i + 1; j < AllFaults.size(); ++j) {
                for (std::uint64_t seed = 1; seed <= SeedsPerPair; ++seed)
                    assertNone(100 + seed, {AllFaults[i], AllFaults[j]});
            }
        }
    }

    void tablePerHostIsDetected()
    {
        CPPUNIT_ASSERT(isDetected(Variant::TablePerHost, {}, "double start"));
    }

    void retryAfterSendIsDetected()
    {
        CPPUNIT_ASSERT(
                isDetected(Variant::RetryAfterSend, {Fault::SilentExecutors}, "double start"));
    }

    void refusalByNonOwnerIsDetected()
    {
        CPPUNIT_ASSERT(isDetected(Variant::RefusalByNonOwner, {Fault::Overload}, "false not run"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionFaultsTest);
