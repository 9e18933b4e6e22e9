#include "anvilmill/admission/jobtable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

using namespace anvilmill;

class AdmissionJobTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionJobTableTest);
    CPPUNIT_TEST(outputsAreCompleteAndInTaskOrder);
    CPPUNIT_TEST(aTaskStartsOnce);
    CPPUNIT_TEST(aRevokedTaskMayStartAgain);
    CPPUNIT_TEST(duplicateAndUnknownAnswersAreIgnored);
    CPPUNIT_TEST(aFailureAfterTheAnswerIsIgnored);
    CPPUNIT_TEST(aFailedJobStartsNoMoreTasks);
    CPPUNIT_TEST(aFailedJobReportsTheTasksThatRan);
    CPPUNIT_TEST(theVerdictOfAJobCombinesThoseOfItsTasks);
    CPPUNIT_TEST(aCancelledJobIgnoresLateAnswers);
    CPPUNIT_TEST(oneOutcomeAmongManyThreads);
    CPPUNIT_TEST_SUITE_END();

public:
    void outputsAreCompleteAndInTaskOrder()
    {
        JobTable table;
        start(table, 3);
        CPPUNIT_ASSERT(!table.answer({1, 2}, "c"));
        CPPUNIT_ASSERT(!table.answer({1, 0}, "a"));
        CPPUNIT_ASSERT(!table.progress(1)->outcome);
        const std::optional<JobOutcome> outcome = table.answer({1, 1}, "b");
        CPPUNIT_ASSERT(outcome.has_value());
        CPPUNIT_ASSERT(outcome->state == JobOutcome::State::Finished);
        CPPUNIT_ASSERT((outcome->outputs == std::vector<std::string>{"a", "b", "c"}));
        CPPUNIT_ASSERT(outcome->verdict == Verdict::Ran);
    }

    void aTaskStartsOnce()
    {
        JobTable table;
        table.add(1, 1);
        CPPUNIT_ASSERT(table.beginStart({1, 0}));
        CPPUNIT_ASSERT(!table.beginStart({1, 0}));
        CPPUNIT_ASSERT(!table.beginStart({1, 1}));
        CPPUNIT_ASSERT(!table.beginStart({2, 0}));
    }

    void aRevokedTaskMayStartAgain()
    {
        JobTable table;
        table.add(1, 2);
        CPPUNIT_ASSERT(table.beginStart({1, 0}));
        table.revokeStart({1, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.progress(1)->tasksStarted);
        CPPUNIT_ASSERT(table.beginStart({1, 0}));
        (void)table.answer({1, 0}, "a");
        table.revokeStart({1, 0});
        table.revokeStart({1, 9});
        CPPUNIT_ASSERT(!table.beginStart({1, 0}));
    }

    void duplicateAndUnknownAnswersAreIgnored()
    {
        JobTable table;
        start(table, 2);
        (void)table.answer({1, 0}, "a");
        CPPUNIT_ASSERT(!table.answer({1, 0}, "other"));
        CPPUNIT_ASSERT(!table.answer({1, 7}, "other"));
        CPPUNIT_ASSERT(!table.answer({2, 0}, "other"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), table.answer({1, 1}, "b")->outputs.front());
        CPPUNIT_ASSERT(!table.answer({1, 1}, "b"));
    }

    void aFailureAfterTheAnswerIsIgnored()
    {
        JobTable table;
        start(table, 2);
        (void)table.answer({1, 0}, "a");
        CPPUNIT_ASSERT(!table.fail({1, 0}, Verdict::MayHaveRun, "silent connection"));
        CPPUNIT_ASSERT(!table.fail({1, 0}, Verdict::NotRun, "late refusal"));
        CPPUNIT_ASSERT(table.answer({1, 1}, "b")->state == JobOutcome::State::Finished);
    }

    void aFailedJobStartsNoMoreTasks()
    {
        JobTable table;
        table.add(1, 3);
        (void)table.beginStart({1, 0});
        CPPUNIT_ASSERT(table.fail({1, 0}, Verdict::MayHaveRun, "silent"));
        CPPUNIT_ASSERT(!table.beginStart({1, 1}));
        CPPUNIT_ASSERT(!table.fail({1, 1}, Verdict::MayHaveRun, "again"));
    }

    void aFailedJobReportsTheTasksThatRan()
    {
        JobTable table;
        start(table, 3);
        (void)table.answer({1, 2}, "c");
        const std::optional<JobOutcome> outcome = table.fail({1, 1}, Verdict::Ran, "exit 1");
        CPPUNIT_ASSERT((outcome->tasksThatRan == std::vector<std::uint32_t>{1, 2}));
        CPPUNIT_ASSERT(outcome->outputs.empty());
    }

    void theVerdictOfAJobCombinesThoseOfItsTasks()
    {
        CPPUNIT_ASSERT(verdictAfter(0, 0, Verdict::NotRun) == Verdict::NotRun);
        CPPUNIT_ASSERT(verdictAfter(1, 0, Verdict::NotRun) == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(verdictAfter(1, 1, Verdict::NotRun) == Verdict::Ran);
        CPPUNIT_ASSERT(verdictAfter(0, 0, Verdict::MayHaveRun) == Verdict::MayHaveRun);
    }

    void aCancelledJobIgnoresLateAnswers()
    {
        JobTable table;
        start(table, 1);
        CPPUNIT_ASSERT(table.cancel(1, "by the caller")->verdict == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(!table.answer({1, 0}, "late"));
        CPPUNIT_ASSERT(!table.cancel(1, "again"));
        table.remove(1);
        CPPUNIT_ASSERT(!table.progress(1));
    }

    void oneOutcomeAmongManyThreads()
    {
        constexpr JobNumber Jobs = 500;
        constexpr std::uint32_t Tasks = 4;
        JobTable table(4);
        for (JobNumber job = 0; job < Jobs; ++job)
            table.add(job, Tasks);
        std::atomic<int> starts{0};
        std::atomic<int> outcomes{0};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                for (JobNumber job = 0; job < Jobs; ++job) {
                    for (std::uint32_t task = 0; task < Tasks; ++task) {
                        starts += table.beginStart({job, task}) ? 1 : 0;
                        outcomes += table.answer({job, task}, "x") ? 1 : 0;
                    }
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(Jobs * Tasks), starts.load());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(Jobs), outcomes.load());
    }

private:
    static void start(JobTable &table, std::uint32_t tasks)
    {
        table.add(1, tasks);
        for (std::uint32_t i = 0; i < tasks; ++i)
            CPPUNIT_ASSERT(table.beginStart({1, i}));
    }

    /// Verdict if the last of three tasks fails after others have started and been answered.
    static Verdict verdictAfter(std::uint32_t started, std::uint32_t answered, Verdict failure)
    {
        JobTable table;
        table.add(1, 3);
        for (std::uint32_t i = 0; i < started; ++i)
            (void)table.beginStart({1, i});
        for (std::uint32_t i = 0; i < answered; ++i)
            (void)table.answer({1, i}, "x");
        (void)table.beginStart({1, 2});
        return table.fail({1, 2}, failure, "failed")->verdict;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionJobTableTest);
