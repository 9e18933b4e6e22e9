#include "anvilmill/manualclock.h"
#include "anvilmill/objectives/burnreport.h"
#include "anvilmill/objectives/objectiverecorder.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace std::chrono_literals;

namespace {

const std::string Quotes = "quotes";

ServiceObjective dayObjective()
{
    return ServiceObjective{Quotes, 0.99, 100ms, 24h};
}

void recordGood(ObjectiveRecorder &recorder, int count)
{
    for (int i = 0; i < count; ++i)
        recorder.record({Quotes, 10ms, std::nullopt, ""});
}

void recordBad(ObjectiveRecorder &recorder, int count, std::string_view cause = "queueFull")
{
    for (int i = 0; i < count; ++i)
        recorder.record({Quotes, 1ms, Verdict::NotRun, cause});
}

wire::burn::ServiceBurn burnOf(const std::vector<const ObjectiveRecorder *> &recorders,
                               const Clock &clock)
{
    std::vector<HostReply> replies;
    replies.reserve(recorders.size());
    for (const ObjectiveRecorder *recorder : recorders)
        replies.push_back({"127.0.0.1:1", recorder->snapshot("host")});
    const BurnReport report = makeBurnReport(replies, clock.wallNow());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.services.size());
    return report.services.front();
}

int firingAlerts(const wire::burn::ServiceBurn &burn, wire::burn::Severity severity)
{
    return static_cast<int>(
            std::count_if(burn.alerts.begin(), burn.alerts.end(), [&](const auto &alert) {
                return alert.firing && alert.severity == severity;
            }));
}

} // namespace

class BurnTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BurnTest);
    CPPUNIT_TEST(burnRateOfOneConsumesTheBudget);
    CPPUNIT_TEST(slowAnswersAreBad);
    CPPUNIT_TEST(countsExpireWithTheWindow);
    CPPUNIT_TEST(countsOfHostsAreMerged);
    CPPUNIT_TEST(fastBurnFiresPageAlert);
    CPPUNIT_TEST(pageAlertStopsSoonAfterFailuresEnd);
    CPPUNIT_TEST(slowBurnFiresOnlyTicketAlert);
    CPPUNIT_TEST(causesAreRankedWithVerdict);
    CPPUNIT_TEST(unreachableHostIsReported);
    CPPUNIT_TEST(hostWithOtherWindowIsExcluded);
    CPPUNIT_TEST(wrongWallClockIsReported);
    CPPUNIT_TEST(seriesOfHostsAreAligned);
    CPPUNIT_TEST(servicesAndCausesAreBounded);
    CPPUNIT_TEST(newObjectiveAppliesImmediately);
    CPPUNIT_TEST(countsAreKeptWhenWallClockIsSetBack);
    CPPUNIT_TEST(responseTimesAreThoseOfTheSlowestHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void burnRateOfOneConsumesTheBudget()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, burnRate(0.99, 99, 1), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, burnRate(0.99, 0, 0), 1e-9);
        CPPUNIT_ASSERT(burnRate(1.0, 1, 1) > 1e6);
    }

    void slowAnswersAreBad()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        recordGood(recorder, 99);
        recorder.record({Quotes, 101ms, std::nullopt, ""});
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{99}, burn.good);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, burn.bad);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, burn.budgetLeft, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), burn.causes.front().cause);
        CPPUNIT_ASSERT(burn.causes.front().verdict == wire::burn::Verdict::Answered);
    }

    void countsExpireWithTheWindow()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        recordBad(recorder, 5);
        m_clock.advance(23h);
        recordGood(recorder, 95);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, burnOf({&recorder}, m_clock).bad);
        m_clock.advance(1h + 10min);
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, burn.bad);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{95}, burn.good);
    }

    void countsOfHostsAreMerged()
    {
        ObjectiveRecorder first(m_clock, dayObjective());
        ObjectiveRecorder second(m_clock, dayObjective());
        recordGood(first, 70);
        recordGood(second, 28);
        recordBad(second, 2);
        const auto burn = burnOf({&first, &second}, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{98}, burn.good);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(-1.0, burn.budgetLeft, 1e-9);
        for (const auto &window : burn.windows)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, window.burnRate, 1e-9);
    }

    void fastBurnFiresPageAlert()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        // 23 hours without failures, then 30% failures for two minutes: a burn rate of 30.
        spread(recorder, 23h, 100000, 0);
        spread(recorder, 2min, 70, 30);
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT(firingAlerts(burn, wire::burn::Severity::Page) > 0);
        CPPUNIT_ASSERT_EQUAL(0, firingAlerts(burn, wire::burn::Severity::Ticket));
    }

    void pageAlertStopsSoonAfterFailuresEnd()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        spread(recorder, 10min, 0, 600);
        CPPUNIT_ASSERT_EQUAL(
                2, firingAlerts(burnOf({&recorder}, m_clock), wire::burn::Severity::Page));
        // The short windows no longer contain the failures, but the long ones still do.
        spread(recorder, 90s, 90, 0);
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT_EQUAL(0, firingAlerts(burn, wire::burn::Severity::Page));
        CPPUNIT_ASSERT(burn.alerts.front().longBurn > burn.alerts.front().threshold);
    }

    void slowBurnFiresOnlyTicketAlert()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        // Failures at a constant burn rate of 2.
        spread(recorder, 6h, 9800, 200);
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT_EQUAL(0, firingAlerts(burn, wire::burn::Severity::Page));
        CPPUNIT_ASSERT_EQUAL(1, firingAlerts(burn, wire::burn::Severity::Ticket));
    }

    void causesAreRankedWithVerdict()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        recordBad(recorder, 1, "quota");
        recordBad(recorder, 3, "queueFull");
        recorder.record({Quotes, 1ms, Verdict::MayHaveRun, "queueFull"});
        const auto causes = burnOf({&recorder}, m_clock).causes;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, causes.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, causes.front().count);
        CPPUNIT_ASSERT(causes.front().verdict == wire::burn::Verdict::NotRun);
    }

    void unreachableHostIsReported()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        recordGood(recorder, 1);
        const std::vector<HostReply> replies = {{"10.0.0.1:80", recorder.snapshot("one")},
                                                {"10.0.0.2:80", Error{"connection refused", {}}}};
        const BurnReport report = makeBurnReport(replies, m_clock.wallNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.hosts.size());
        CPPUNIT_ASSERT(!report.hosts[0].error);
        CPPUNIT_ASSERT_EQUAL(std::string("connection refused"), *report.hosts[1].error);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, report.services.front().good);
    }

    void hostWithOtherWindowIsExcluded()
    {
        ObjectiveRecorder first(m_clock, dayObjective());
        ObjectiveRecorder second(m_clock, {Quotes, 0.99, 100ms, 1h});
        recordGood(first, 10);
        recordGood(second, 3);
        const auto burn = burnOf({&second, &first}, m_clock);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, burn.good);
        CPPUNIT_ASSERT(burn.remarks.front().find("left out") != std::string::npos);
    }

    void wrongWallClockIsReported()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        const std::vector<HostReply> replies = {{"10.0.0.1:80", recorder.snapshot("one")}};
        CPPUNIT_ASSERT(!makeBurnReport(replies, m_clock.wallNow()).hosts[0].remark);
        CPPUNIT_ASSERT(makeBurnReport(replies, m_clock.wallNow() + 1min).hosts[0].remark);
    }

    void seriesOfHostsAreAligned()
    {
        // The steps of this window are not whole milliseconds before rounding.
        const ServiceObjective odd{Quotes, 0.99, 100ms, 61s};
        ObjectiveRecorder first(m_clock, odd);
        ObjectiveRecorder second(m_clock, odd);
        for (int i = 0; i < 20; ++i) {
            recordGood(first, 1);
            m_clock.advance(1s);
            recordGood(second, 2);
        }
        const auto series = burnOf({&first, &second}, m_clock).series;
        std::int64_t total = 0;
        for (const std::int64_t good : series.good)
            total += good;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{60}, total);
        CPPUNIT_ASSERT(series.good.size() <= 73);
        CPPUNIT_ASSERT_EQUAL(series.good.size(), series.bad.size());
    }

    void servicesAndCausesAreBounded()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        for (int i = 0; i < 3000; ++i) {
            const std::string name = "n" + std::to_string(i);
            recorder.record({name, 1ms, std::nullopt, ""});
            recorder.record({Quotes, 1ms, Verdict::NotRun, name});
        }
        const HostObjectives counts = recorder.snapshot("one");
        CPPUNIT_ASSERT(counts.services.size() <= 1100);
        std::int64_t good = 0;
        for (const auto &service : counts.services) {
            CPPUNIT_ASSERT(service.causes.size() <= 25);
            good += service.windows.front().good;
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, good);
    }

    void newObjectiveAppliesImmediately()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        recordGood(recorder, 1);
        recorder.setObjectives({{Quotes, 0.9, 5ms, 24h}});
        recordGood(recorder, 1);
        const auto burn = burnOf({&recorder}, m_clock);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, burn.objective, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, burn.good);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, burn.bad);
    }

    void countsAreKeptWhenWallClockIsSetBack()
    {
        ObjectiveRecorder recorder(m_clock, dayObjective());
        m_clock.advance(30h);
        recordGood(recorder, 5);
        m_clock.shiftWall(-25h);
        recordGood(recorder, 1);
        m_clock.shiftWall(25h);
        CPPUNIT_ASSERT(burnOf({&recorder}, m_clock).good >= 5);
    }

    void responseTimesAreThoseOfTheSlowestHost()
    {
        ObjectiveRecorder few(m_clock, dayObjective());
        ObjectiveRecorder many(m_clock, dayObjective());
        few.record({Quotes, 40ms, std::nullopt, ""});
        for (int i = 1; i <= 1000; ++i)
            many.record({Quotes, std::chrono::microseconds(i * 30), std::nullopt, ""});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, burnOf({&few}, m_clock).worstMedianMs, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(15, burnOf({&many}, m_clock).worstMedianMs, 0.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, burnOf({&many, &few}, m_clock).worstP99Ms, 1e-9);
    }

private:
    /// Advances the clock by \p length and records the requests evenly over that time.
    void spread(ObjectiveRecorder &recorder, Duration length, int good, int bad)
    {
        constexpr int Steps = 2000;
        for (int i = 0; i < Steps; ++i) {
            m_clock.advance(length / Steps);
            recordGood(recorder, share(good, i, Steps));
            recordBad(recorder, share(bad, i, Steps));
        }
    }

    static int share(int total, int step, int steps)
    {
        return total * (step + 1) / steps - total * step / steps;
    }

    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurnTest);
