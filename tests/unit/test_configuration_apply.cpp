#include "anvilmill/configuration/revisionstore.h"

#include "anvilmill/randomsource.h"
#include "fakes/randomsheet.h"
#include "fakes/scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace anvilmill;
using State = ApplyOutcome::State;

namespace {

SheetChange changeOf(const Sheet &sheet, const std::string &id)
{
    SheetChange change;
    change.sheet = sheet;
    change.changeId = id;
    change.author = "test";
    return change;
}

Sheet sheetWith(int size)
{
    Sheet sheet;
    sheet.services.push_back({"stock", size});
    return sheet;
}

struct Fixture
{
    fakes::ScriptedStore store;
    RevisionStore revisions{store, [](Duration) {}};

    ApplyOutcome apply(int size, const std::string &id)
    {
        return revisions.apply(changeOf(sheetWith(size), id));
    }

    Configuration read()
    {
        const Result<Configuration> configuration = revisions.readConfiguration();
        CPPUNIT_ASSERT(configuration);
        return *configuration;
    }
};

} // namespace

class ApplyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApplyTest);
    CPPUNIT_TEST(acceptedSheetGetsTheNextRevision);
    CPPUNIT_TEST(sameSheetIsUnchanged);
    CPPUNIT_TEST(lostReplyIsResolvedWithoutASecondWrite);
    CPPUNIT_TEST(changeWithLostReplyFollowedByAnotherChangeIsApplied);
    CPPUNIT_TEST(lostRequestIsResent);
    CPPUNIT_TEST(losingChangeOfARaceReportsTheDiff);
    CPPUNIT_TEST(staleBaseIsAConflict);
    CPPUNIT_TEST(changeIsNotAppliedWhileStoreIsDown);
    CPPUNIT_TEST(storeFailureDuringApplyNeverWritesTwice);
    CPPUNIT_TEST(changeAfterRestoreExceedsHighestRevisionInForce);
    CPPUNIT_TEST(manyChangesKeepHeadSmallAndHistoryContiguous);
    CPPUNIT_TEST(concurrentOperatorsWithCheckpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedSheetGetsTheNextRevision()
    {
        Fixture f;
        const ApplyOutcome first = f.apply(200, "a");
        CPPUNIT_ASSERT(first.state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(Revision(1), first.id.revision);
        const ApplyOutcome second = f.apply(100, "b");
        CPPUNIT_ASSERT_EQUAL(Revision(2), second.id.revision);
        CPPUNIT_ASSERT_EQUAL(std::string("~ service stock: size 200 -> 100\n"),
                             asText(second.changes));
        CPPUNIT_ASSERT(f.read().sheet == sheetWith(100));
    }

    void sameSheetIsUnchanged()
    {
        Fixture f;
        CPPUNIT_ASSERT(f.apply(200, "a").state == State::Applied);
        CPPUNIT_ASSERT(f.apply(200, "b").state == State::Unchanged);
        CPPUNIT_ASSERT_EQUAL(Revision(1), f.read().id.revision);
    }

    void lostReplyIsResolvedWithoutASecondWrite()
    {
        Fixture f;
        f.store.repliesToLose = 1;
        CPPUNIT_ASSERT(f.apply(200, "a").state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(1, f.store.writesOf("a"));
        const ApplyOutcome again = f.apply(200, "a");
        CPPUNIT_ASSERT(again.state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(Revision(1), again.id.revision);
        CPPUNIT_ASSERT_EQUAL(1, f.store.writesOf("a"));
    }

    void changeWithLostReplyFollowedByAnotherChangeIsApplied()
    {
        Fixture f;
        CPPUNIT_ASSERT(f.apply(10, "start").state == State::Applied);
        RevisionStore other(f.store, [](Duration) {});
        f.store.beforePut = [&](const StorePut &put) {
            // The reply is lost and the first attempt to resolve the write fails.
            if (put.changeId == "slow" && f.store.writesOf("slow") == 0) {
                f.store.repliesToLose = 1;
                f.store.callsUntilDown = 0;
            }
        };
        RevisionStore restarting(f.store, [&](Duration) {
            f.store.isDown = false;
            f.store.beforePut = nullptr;
            CPPUNIT_ASSERT(other.apply(changeOf(sheetWith(30), "other")).state == State::Applied);
        });
        const ApplyOutcome outcome = restarting.apply(changeOf(sheetWith(20), "slow"));
        CPPUNIT_ASSERT(outcome.state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(Revision(2), outcome.id.revision);
        CPPUNIT_ASSERT_EQUAL(1, f.store.writesOf("slow"));
        CPPUNIT_ASSERT(f.read().sheet == sheetWith(30));
    }

    void lostRequestIsResent()
    {
        Fixture f;
        f.store.putsToLose = 1;
        CPPUNIT_ASSERT(f.apply(200, "a").state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(1, f.store.writesOf("a"));
    }

    void losingChangeOfARaceReportsTheDiff()
    {
        Fixture f;
        CPPUNIT_ASSERT(f.apply(10, "start").state == State::Applied);
        RevisionStore other(f.store, [](Duration) {});
        f.store.beforePut = [&](const StorePut &put) {
            if (put.changeId != "loser")
                return;
            f.store.beforePut = nullptr;
            CPPUNIT_ASSERT(other.apply(changeOf(sheetWith(30), "winner")).state == State::Applied);
        };
        const ApplyOutcome outcome = f.apply(20, "loser");
        CPPUNIT_ASSERT(outcome.state == State::Conflict);
        CPPUNIT_ASSERT_EQUAL(Revision(2), outcome.id.revision);
        CPPUNIT_ASSERT_EQUAL(std::string("~ service stock: size 30 -> 20\n"),
                             asText(outcome.changes));
        CPPUNIT_ASSERT_EQUAL(0, f.store.writesOf("loser"));
    }

    void staleBaseIsAConflict()
    {
        Fixture f;
        CPPUNIT_ASSERT(f.apply(10, "a").state == State::Applied);
        SheetChange change = changeOf(sheetWith(20), "b");
        change.base = 0;
        CPPUNIT_ASSERT(f.revisions.apply(change).state == State::Conflict);
        change.base = 1;
        CPPUNIT_ASSERT(f.revisions.apply(change).state == State::Applied);
    }

    void changeIsNotAppliedWhileStoreIsDown()
    {
        Fixture f;
        f.store.isDown = true;
        const ApplyOutcome outcome = f.apply(10, "a");
        CPPUNIT_ASSERT(outcome.state == State::NotApplied);
        CPPUNIT_ASSERT(outcome.reason.find("down") != std::string::npos);
    }

    /// The platform fails after each number of calls, with lost replies, puts, both or neither.
    void storeFailureDuringApplyNeverWritesTwice()
    {
        for (int calls = 0; calls < 12; ++calls) {
            for (int kind = 0; kind < 4; ++kind) {
                Fixture f;
                CPPUNIT_ASSERT(f.apply(10, "start").state == State::Applied);
                f.store.callsUntilDown = calls;
                f.store.repliesToLose = kind % 2 == 1 ? 2 : 0;
                f.store.putsToLose = kind / 2;
                const State during = f.apply(20, "a").state;
                f.store.callsUntilDown = -1;
                f.store.isDown = false;
                const int writes = f.store.writesOf("a");
                CPPUNIT_ASSERT(during != State::Conflict && during != State::Unchanged);
                CPPUNIT_ASSERT(during != State::Applied || writes == 1);
                CPPUNIT_ASSERT(during != State::NotApplied || writes == 0);
                CPPUNIT_ASSERT(f.apply(20, "a").state == State::Applied);
                CPPUNIT_ASSERT_EQUAL(1, f.store.writesOf("a"));
                CPPUNIT_ASSERT_EQUAL(Revision(2), f.read().id.revision);
            }
        }
    }

    void changeAfterRestoreExceedsHighestRevisionInForce()
    {
        Fixture f;
        CPPUNIT_ASSERT(f.apply(10, "a").state == State::Applied);
        const auto backup = f.store.entries();
        CPPUNIT_ASSERT(f.apply(20, "b").state == State::Applied);
        CPPUNIT_ASSERT(f.apply(30, "c").state == State::Applied);
        f.store.restore(backup);
        SheetChange change = changeOf(sheetWith(10), "d");
        change.highestInForce = 3;
        const ApplyOutcome outcome = f.revisions.apply(change);
        CPPUNIT_ASSERT(outcome.state == State::Applied);
        CPPUNIT_ASSERT_EQUAL(Revision(4), outcome.id.revision);
        CPPUNIT_ASSERT_EQUAL(Revision(2), outcome.lostRevisions);
        CPPUNIT_ASSERT_EQUAL(Revision(4), f.read().id.revision);
    }

    void manyChangesKeepHeadSmallAndHistoryContiguous()
    {
        Fixture f;
        SeededRandom random(5);
        Sheet sheet = fakes::randomSheet(random, 40, 20, 40);
        for (int i = 0; i < 300; ++i) {
            CPPUNIT_ASSERT(f.revisions.apply(changeOf(sheet, "c" + std::to_string(i))).state
                           == State::Applied);
            CPPUNIT_ASSERT(f.read().sheet == sheet);
            const Sheet before = sheet;
            while (sheet == before)
                fakes::applyRandomChanges(sheet, random);
        }
        const auto history = f.revisions.history();
        CPPUNIT_ASSERT(history);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(300), history->back().revision);
        for (std::size_t i = 1; i < history->size(); ++i)
            CPPUNIT_ASSERT_EQUAL((*history)[i - 1].revision + 1, (*history)[i].revision);
        CPPUNIT_ASSERT(history->size() >= 256 && history->size() <= 256 + 16);
        CPPUNIT_ASSERT(f.store.entries().at(configurationHeadKey()).value.size() < 32768);
        CPPUNIT_ASSERT(f.store.largestValue() <= MaxStoreValueSize);
    }

    /// The second operator applies changes before random puts of the first one.
    void concurrentOperatorsWithCheckpoints()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Fixture f;
            SeededRandom random(seed);
            RevisionStoreOptions options;
            options.headDeltaBytes = 600;
            RevisionStore first(
                    f.store, [](Duration) {}, options);
            RevisionStore second(
                    f.store, [](Duration) {}, options);
            Sheet sheet = fakes::randomSheet(random, 10, 5, 10);
            int changes = 0;
            Revision accepted = 0;
            for (int i = 0; i < 60; ++i) {
                f.store.beforePut = [&](const StorePut & /*put*/) {
                    if (random.nextBelow(3) != 0)
                        return;
                    const auto hook = std::exchange(f.store.beforePut, nullptr);
                    fakes::applyRandomChanges(sheet, random);
                    const std::string id = "second-" + std::to_string(++changes);
                    accepted += second.apply(changeOf(sheet, id)).state == State::Applied ? 1 : 0;
                };
                fakes::applyRandomChanges(sheet, random);
                const std::string id = "first-" + std::to_string(++changes);
                accepted += first.apply(changeOf(sheet, id)).state == State::Applied ? 1 : 0;
                f.store.beforePut = nullptr;
                const Result<Configuration> read = first.readConfiguration();
                CPPUNIT_ASSERT(read);
                CPPUNIT_ASSERT_EQUAL(accepted, read->id.revision);
            }
            CPPUNIT_ASSERT(accepted > 30);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyTest);
