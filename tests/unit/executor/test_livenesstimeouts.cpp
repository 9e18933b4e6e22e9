#include "anvilmill/executor/livenesstimeouts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using std::chrono::milliseconds;

class LivenessTimeoutsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LivenessTimeoutsTest);
    CPPUNIT_TEST(runsOfASilentHostEndWithinTheResubmissionDelay);
    CPPUNIT_TEST(tooShortResubmissionDelayIsReported);
    CPPUNIT_TEST(hostThatSendsHeartbeatsKeepsItsLeasesWhateverTheResubmissionDelay);
    CPPUNIT_TEST(leaseOfALostHostEndsWithinTheResubmissionDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    // The sum was 1.6 s with two lost stops, and 1.4 s with one: a task ran twice after its client had
    // submitted the job again 1.3 s after the loss of its host.
    void runsOfASilentHostEndWithinTheResubmissionDelay()
    {
        const LivenessSettings settings;
        const LivenessTimeouts timeouts(settings, HoldSettings());
        CPPUNIT_ASSERT(timeouts.areSufficient());
        const Duration end = timeouts.silentAfter() + LivenessTimeouts::CheckInterval
                             + 2 * LivenessTimeouts::StopRepeatInterval + settings.stopTime;
        CPPUNIT_ASSERT(end < settings.resubmissionDelay);
        CPPUNIT_ASSERT(timeouts.silentAfter() > 3 * LivenessTimeouts::HeartbeatInterval);
        CPPUNIT_ASSERT(timeouts.maxRequestAge() < timeouts.silentAfter());
    }

    void tooShortResubmissionDelayIsReported()
    {
        const LivenessTimeouts timeouts({milliseconds(600), milliseconds(50)}, HoldSettings());
        CPPUNIT_ASSERT(!timeouts.areSufficient());
        CPPUNIT_ASSERT(timeouts.silentAfter() > 2 * LivenessTimeouts::HeartbeatInterval);
    }

    void hostThatSendsHeartbeatsKeepsItsLeasesWhateverTheResubmissionDelay()
    {
        for (const int delay : {0, 300, 600, 1000, 1300, 5000}) {
            const HoldSettings hold;
            const LivenessTimeouts timeouts({milliseconds(delay), milliseconds(50)}, hold);
            // One of the heartbeats is lost.
            const Duration lease =
                    timeouts.leaseAfterLastMessage() - 2 * LivenessTimeouts::HeartbeatInterval;
            CPPUNIT_ASSERT(lease > hold.longestLease / 2);
        }
    }

    void leaseOfALostHostEndsWithinTheResubmissionDelay()
    {
        const LivenessSettings settings;
        const HoldSettings hold;
        const LivenessTimeouts timeouts(settings, hold);
        CPPUNIT_ASSERT(timeouts.leaseAfterLastMessage() + settings.stopTime
                       < settings.resubmissionDelay);
        CPPUNIT_ASSERT(timeouts.leaseAfterLastMessage() - LivenessTimeouts::HeartbeatInterval
                       > hold.longestLease * 9 / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LivenessTimeoutsTest);
