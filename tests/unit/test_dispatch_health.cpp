#include "anvilmill/dispatch/executorpool.h"
#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DispatchHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchHealthTest);
    CPPUNIT_TEST(startLimitDoublesWithEachSuccess);
    CPPUNIT_TEST(startLimitDoublesWithEachSlowStartStep);
    CPPUNIT_TEST(failureStopsSlowStart);
    CPPUNIT_TEST(failingExecutorIsProbedRarely);
    CPPUNIT_TEST(recoveredExecutorIsUsedAgain);
    CPPUNIT_TEST(correlatedFailuresEjectOnlyTheMaximumShare);
    CPPUNIT_TEST(onlyTheFailingServiceIsExcluded);
    CPPUNIT_TEST(stalledExecutorReceivesNoStarts);
    CPPUNIT_TEST(pausesGrowWithRefusals);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_clock = std::make_unique<ManualClock>();
        m_random = std::make_unique<SeededRandom>(5);
        m_estimator = std::make_unique<RunTimeEstimator>();
        m_pool =
                std::make_unique<ExecutorPool>(*m_clock, *m_random, *m_estimator, HealthSettings{});
    }

    void startLimitDoublesWithEachSuccess()
    {
        useExecutors(1);
        CPPUNIT_ASSERT_EQUAL(1, m_pool->freeSlots());
        run(StartOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(2, m_pool->freeSlots());
        run(StartOutcome::Done);
        run(StartOutcome::Done);
        run(StartOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(8, m_pool->freeSlots());
    }

    void startLimitDoublesWithEachSlowStartStep()
    {
        useExecutors(1);
        m_pool->acquireSlot(0);
        CPPUNIT_ASSERT_EQUAL(0, m_pool->freeSlots());
        for (const int free : {1, 3, 7}) {
            m_clock->advance(HealthSettings{}.slowStartStep);
            m_pool->refresh();
            CPPUNIT_ASSERT_EQUAL(free, m_pool->freeSlots());
        }
    }

    void failureStopsSlowStart()
    {
        useExecutors(1);
        run(StartOutcome::Done);
        m_pool->acquireSlot(0);
        m_pool->acquireSlot(0);
        m_pool->releaseSlot(0, 0, StartOutcome::Failed);
        m_clock->advance(HealthSettings{}.slowStartStep);
        m_pool->refresh();
        CPPUNIT_ASSERT_EQUAL(1, m_pool->freeSlots());
    }

    void failingExecutorIsProbedRarely()
    {
        useExecutors(10);
        int starts = 0;
        for (int second = 0; second < 600; ++second) {
            m_clock->advance(seconds(1));
            m_pool->refresh();
            while (const auto slot = freeSlot()) {
                if (slot->executor != 0)
                    break;
                ++starts;
                m_pool->acquireSlot(0);
                m_pool->releaseSlot(0, 0, StartOutcome::Failed);
            }
        }
        // Ten minutes allow ten probes at the maximum interval of one minute, plus earlier ones.
        CPPUNIT_ASSERT(starts >= 5);
        CPPUNIT_ASSERT(starts <= 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool->ejectedExecutors());
    }

    void recoveredExecutorIsUsedAgain()
    {
        useExecutors(10);
        m_pool->acquireSlot(3);
        m_pool->releaseSlot(3, 0, StartOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool->ejectedExecutors());
        m_clock->advance(seconds(2));
        m_pool->refresh();
        m_pool->acquireSlot(3);
        m_pool->releaseSlot(3, 0, StartOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->ejectedExecutors());
        CPPUNIT_ASSERT_EQUAL(11, m_pool->freeSlots());
    }

    void correlatedFailuresEjectOnlyTheMaximumShare()
    {
        useExecutors(10);
        for (int round = 0; round < 10; ++round)
            for (std::size_t executor = 0; executor < 10; ++executor) {
                m_pool->acquireSlot(executor);
                m_pool->releaseSlot(executor, static_cast<std::size_t>(round),
                                    StartOutcome::Failed);
            }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_pool->ejectedExecutors());
        CPPUNIT_ASSERT(freeSlot().has_value());
    }

    void onlyTheFailingServiceIsExcluded()
    {
        useExecutors(1);
        for (int round = 0; round < 4; ++round) {
            run(StartOutcome::Done);
            m_pool->acquireSlot(0);
            m_pool->releaseSlot(0, 7, StartOutcome::Failed);
        }
        CPPUNIT_ASSERT(m_pool->fastestFreeSlot(m_placement, 0).has_value());
        CPPUNIT_ASSERT(!m_pool->fastestFreeSlot(m_placement, 7).has_value());
        m_clock->advance(seconds(10));
        CPPUNIT_ASSERT(m_pool->fastestFreeSlot(m_placement, 7).has_value());
    }

    void stalledExecutorReceivesNoStarts()
    {
        useExecutors(1);
        run(StartOutcome::Done);
        run(StartOutcome::Done);
        m_pool->acquireSlot(0);
        m_clock->advance(seconds(30));
        m_pool->refresh();
        CPPUNIT_ASSERT(!freeSlot());
        m_pool->releaseSlot(0, 0, StartOutcome::Lost);
        m_clock->advance(seconds(60));
        m_pool->refresh();
        CPPUNIT_ASSERT(freeSlot().has_value());
    }

    void pausesGrowWithRefusals()
    {
        useExecutors(1);
        Duration last{};
        for (int refusal = 0; refusal < 6; refusal += 2) {
            m_pool->acquireSlot(0);
            m_pool->releaseSlot(0, 0, StartOutcome::NotStarted);
            const Duration pause = *m_pool->nextWakeTime() - m_clock->now();
            m_clock->advance(pause);
            m_pool->refresh();
            m_pool->acquireSlot(0);
            m_pool->releaseSlot(0, 0, StartOutcome::NotStarted);
            m_clock->advance(seconds(2));
            m_pool->refresh();
            CPPUNIT_ASSERT(pause > last);
            last = pause;
        }
    }

private:
    void useExecutors(int count)
    {
        std::vector<ExecutorInfo> executors;
        executors.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            executors.push_back({"executor" + std::to_string(i), 8, {}, false});
        m_pool->setExecutors(executors);
        m_placement = m_pool->placementOf("stock");
    }

    [[nodiscard]] std::optional<FreeSlot> freeSlot() const
    {
        return m_pool->fastestFreeSlot(m_placement, 0);
    }

    void run(StartOutcome end)
    {
        m_pool->acquireSlot(0);
        m_pool->releaseSlot(0, 0, end);
    }

    std::unique_ptr<ManualClock> m_clock;
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<RunTimeEstimator> m_estimator;
    std::unique_ptr<ExecutorPool> m_pool;
    std::size_t m_placement = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchHealthTest);
