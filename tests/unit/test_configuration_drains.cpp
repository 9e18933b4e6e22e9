#include "anvilmill/configuration/entryhostdrain.h"
#include "anvilmill/configuration/executordrain.h"
#include "anvilmill/configuration/plannedstop.h"

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = EntryHostDrain::Phase;

namespace {

constexpr Duration LastStartLimit = seconds(3);

ListedHost executor(const std::string &name, ListedHost::State state = ListedHost::State::Live)
{
    ListedHost host;
    host.role = ListedHost::Role::Executor;
    host.state = state;
    host.name = name;
    host.slots = 8;
    return host;
}

/// The indications of a leaving executor in one run.
struct LeaveIndications
{
    bool isListed = false;
    bool isAnnounced = false;
    bool isListFlapping = false;
    bool isListDown = false;
};

/// Starts tasks on each executor that is not leaving; returns the time from the notice to the last
/// start on the leaving executor. With a flapping list, the notice is the first time that the list
/// shows the executor as leaving.
Duration lastStartAfterNotice(const LeaveIndications &indications, std::uint64_t seed)
{
    ManualClock clock;
    SeededRandom random(seed);
    ExecutorDrain drain(clock, {});
    drain.setListed({executor("a"), executor("b")});
    MonotonicTime notice = clock.now() + seconds(2);
    const MonotonicTime end = notice + seconds(8);
    bool wasListedAsLeaving = false;
    MonotonicTime nextPoll = clock.now();
    Duration last{};
    while (clock.now() < end) {
        const bool isNoticed = clock.now() >= notice;
        if (clock.now() >= nextPoll && !indications.isListDown) {
            nextPoll = clock.now() + seconds(1);
            const bool isStale = indications.isListFlapping && random.nextBelow(2) == 0;
            const bool isListedAsLeaving = isNoticed && indications.isListed && !isStale;
            if (isListedAsLeaving && !wasListedAsLeaving && indications.isListFlapping) {
                notice = clock.now();
                last = Duration::zero();
            }
            wasListedAsLeaving = wasListedAsLeaving || isListedAsLeaving;
            drain.setListed({executor("a", isListedAsLeaving ? ListedHost::State::Leaving
                                                             : ListedHost::State::Live),
                             executor("b")});
        }
        for (const ExecutorInfo &info : drain.executors()) {
            if (info.name != "a" || info.isLeaving)
                continue;
            if (isNoticed)
                last = clock.now() - notice;
            // A leaving executor refuses the start and thereby announces that it is leaving.
            if (isNoticed && indications.isAnnounced)
                drain.leaveAnnounced("a");
        }
        clock.advance(milliseconds(1 + random.nextBelow(50)));
    }
    return last;
}

Sheet sheetWithStop(StopKind role, const std::string &name, WallTime at, Duration grace)
{
    Sheet sheet;
    sheet.stops.push_back({name, role, at, grace});
    return sheet;
}

} // namespace

class DrainsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainsTest);
    CPPUNIT_TEST(noStartLaterThanThreeSecondsAfterNotice);
    CPPUNIT_TEST(failedConnectsStopStartsUntilAProbeSucceeds);
    CPPUNIT_TEST(unlistedExecutorIsKeptUntilConnectsFail);
    CPPUNIT_TEST(returningExecutorIsUsedAfterTheReturnDelay);
    CPPUNIT_TEST(plannedStopOfAWorkerTakesEffectAtOnce);
    CPPUNIT_TEST(stopsAreDueOneGracePeriodBeforeTheirTime);
    CPPUNIT_TEST(entryHostDrainPassesThroughAllPhases);
    CPPUNIT_TEST(requestsInFlightFinishWithinTheGrace);
    CPPUNIT_TEST(drainEndsWithTheGracePeriod);
    CPPUNIT_TEST(drainCanBeCancelled);
    CPPUNIT_TEST(callersMoveWithoutAnAbortedRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void noStartLaterThanThreeSecondsAfterNotice()
    {
        const LeaveIndications all[] = {
                {true, false, false, false}, {false, true, false, false},
                {true, true, false, false},  {true, false, true, false},
                {true, true, true, false},   {false, true, false, true},
        };
        for (const LeaveIndications &indications : all) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
                CPPUNIT_ASSERT(lastStartAfterNotice(indications, seed) < LastStartLimit);
        }
        // Starts continue without any indication, so the measurement detects late starts.
        CPPUNIT_ASSERT(lastStartAfterNotice({}, 1) > LastStartLimit);
    }

    void failedConnectsStopStartsUntilAProbeSucceeds()
    {
        ManualClock clock;
        ExecutorDrain drain(clock, {});
        drain.setListed({executor("a")});
        drain.connectFailed("a");
        CPPUNIT_ASSERT(!drain.isLeaving("a"));
        drain.connectFailed("a");
        CPPUNIT_ASSERT(drain.isLeaving("a"));
        CPPUNIT_ASSERT(drain.probesDue().empty());
        clock.advance(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), drain.probesDue().size());
        drain.connectFailed("a");
        clock.advance(milliseconds(500));
        CPPUNIT_ASSERT(drain.probesDue().empty());
        clock.advance(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), drain.probesDue().size());
        CPPUNIT_ASSERT(drain.isLeaving("a"));
        drain.connectSucceeded("a");
        CPPUNIT_ASSERT(!drain.isLeaving("a"));
    }

    void unlistedExecutorIsKeptUntilConnectsFail()
    {
        ManualClock clock;
        ExecutorDrain drain(clock, {});
        drain.setListed({executor("a")});
        drain.setListed({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), drain.executors().size());
        CPPUNIT_ASSERT(!drain.executors().front().isLeaving);
        drain.connectFailed("a");
        drain.connectFailed("a");
        CPPUNIT_ASSERT(drain.executors().front().isLeaving);
        drain.setListed({});
        CPPUNIT_ASSERT(drain.executors().empty());
    }

    void returningExecutorIsUsedAfterTheReturnDelay()
    {
        ManualClock clock;
        ExecutorDrain drain(clock, {});
        drain.setListed({executor("a")});
        drain.leaveAnnounced("a");
        for (int i = 0; i < 9; ++i) {
            clock.advance(seconds(1));
            drain.setListed({executor("a")});
            CPPUNIT_ASSERT(drain.isLeaving("a"));
        }
        drain.setListed({executor("a", ListedHost::State::Leaving)});
        clock.advance(seconds(9));
        drain.setListed({executor("a")});
        CPPUNIT_ASSERT(drain.isLeaving("a"));
        clock.advance(seconds(1));
        CPPUNIT_ASSERT(!drain.isLeaving("a"));
    }

    void plannedStopOfAWorkerTakesEffectAtOnce()
    {
        ManualClock clock;
        ExecutorDrain drain(clock, {});
        drain.setListed({executor("a"), executor("b")});
        drain.setPlannedStops({"b"});
        CPPUNIT_ASSERT(!drain.isLeaving("a") && drain.isLeaving("b"));
        drain.setListed({executor("a"), executor("b")});
        CPPUNIT_ASSERT(drain.isLeaving("b"));
        drain.setPlannedStops({});
        CPPUNIT_ASSERT(!drain.isLeaving("b"));
    }

    void stopsAreDueOneGracePeriodBeforeTheirTime()
    {
        const WallTime at(seconds(1000));
        const Sheet sheet = sheetWithStop(StopKind::EntryHost, "bole/entry-1", at, seconds(60));
        CPPUNIT_ASSERT(stopsDue(sheet, StopKind::EntryHost, at - seconds(61)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             stopsDue(sheet, StopKind::EntryHost, at - seconds(60)).size());
        CPPUNIT_ASSERT(stopsDue(sheet, StopKind::Worker, at).empty());
        CPPUNIT_ASSERT(stopsDue(sheet, StopKind::EntryHost, at + seconds(60)).empty());
        const WallTime before = at - seconds(500);
        CPPUNIT_ASSERT(ownStopDue(sheet, "bole/entry-1", at - seconds(30), before));
        CPPUNIT_ASSERT(!ownStopDue(sheet, "bole/entry-2", at - seconds(30), before));
        // The stop does not apply to the replacement of the host.
        CPPUNIT_ASSERT(!ownStopDue(sheet, "bole/entry-1", at + seconds(10), at + seconds(5)));
    }

    void entryHostDrainPassesThroughAllPhases()
    {
        ManualClock clock;
        EntryHostDrain drain(clock, {});
        CPPUNIT_ASSERT(drain.isReady() && drain.acceptsConnections());
        drain.begin(seconds(30));
        CPPUNIT_ASSERT(!drain.isReady() && drain.acceptsConnections());
        CPPUNIT_ASSERT(!drain.closesAfterResponse());
        drain.update(0, 0);
        CPPUNIT_ASSERT(drain.phase() == Phase::NotReady);
        clock.advance(seconds(3));
        drain.update(5, 9);
        CPPUNIT_ASSERT(drain.phase() == Phase::Closing);
        CPPUNIT_ASSERT(!drain.acceptsConnections() && drain.closesAfterResponse());
        CPPUNIT_ASSERT(!drain.mayCloseIdle(clock.now() - seconds(1)));
        CPPUNIT_ASSERT(drain.mayCloseIdle(clock.now() - seconds(2)));
        drain.update(0, 1);
        CPPUNIT_ASSERT(drain.phase() == Phase::Closing);
        drain.update(0, 0);
        CPPUNIT_ASSERT(drain.phase() == Phase::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), drain.requestsAborted());
    }

    void requestsInFlightFinishWithinTheGrace()
    {
        ManualClock clock;
        EntryHostDrain drain(clock, {});
        drain.begin(seconds(30));
        for (int second = 0; second < 29; ++second) {
            clock.advance(seconds(1));
            drain.update(1, 1);
            CPPUNIT_ASSERT(drain.phase() != Phase::Done);
        }
        drain.update(0, 0);
        CPPUNIT_ASSERT(drain.phase() == Phase::Done);
    }

    void drainEndsWithTheGracePeriod()
    {
        ManualClock clock;
        EntryHostDrain drain(clock, {});
        drain.begin(seconds(30));
        drain.begin(seconds(60));
        clock.advance(seconds(30));
        drain.update(2, 3);
        CPPUNIT_ASSERT(drain.phase() == Phase::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), drain.requestsAborted());
    }

    void drainCanBeCancelled()
    {
        ManualClock clock;
        EntryHostDrain drain(clock, {});
        drain.begin(seconds(30));
        clock.advance(seconds(10));
        drain.update(1, 1);
        drain.cancel();
        CPPUNIT_ASSERT(drain.isReady() && drain.acceptsConnections());
        drain.begin(seconds(10));
        CPPUNIT_ASSERT(drain.phase() == Phase::NotReady);
    }

    /// Callers use keep-alive connections, some idle for long, through a load balancer that detects
    /// the failed readiness check late. No new connection may be refused and no request aborted.
    void callersMoveWithoutAnAbortedRequest()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            ManualClock clock;
            SeededRandom random(seed);
            EntryHostDrain drain(clock, {});
            struct Connection
            {
                bool isOpen = true;
                int remainingMs = 0;
                MonotonicTime idleSince;
            };
            std::vector<Connection> connections(50);
            drain.begin(seconds(30));
            int refused = 0;
            for (int step = 0; step < 3000 && drain.phase() != Phase::Done; ++step) {
                clock.advance(milliseconds(10));
                std::size_t inFlight = 0;
                std::size_t open = 0;
                for (Connection &each : connections) {
                    const bool wasBusy = each.remainingMs > 0;
                    each.remainingMs = std::max(0, each.remainingMs - 10);
                    if (wasBusy && each.remainingMs == 0) {
                        each.idleSince = clock.now();
                        each.isOpen = each.isOpen && !drain.closesAfterResponse();
                    }
                    const bool isIdle = each.isOpen && each.remainingMs == 0;
                    if (isIdle && drain.mayCloseIdle(each.idleSince))
                        each.isOpen = false;
                    else if (isIdle && random.nextBelow(20) == 0)
                        each.remainingMs = 10 + static_cast<int>(random.nextBelow(3000));
                    inFlight += each.remainingMs > 0 ? 1 : 0;
                    open += each.isOpen ? 1 : 0;
                }
                // The load balancer opens connections until it detects that the host is not ready.
                if (step < 250 && !drain.acceptsConnections())
                    ++refused;
                drain.update(inFlight, open);
            }
            CPPUNIT_ASSERT(drain.phase() == Phase::Done);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), drain.requestsAborted());
            CPPUNIT_ASSERT_EQUAL(0, refused);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainsTest);
