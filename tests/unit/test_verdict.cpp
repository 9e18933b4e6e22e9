#include "anvilmill/verdict.h"

#include <cppunit/extensions/HelperMacros.h>

using anvilmill::combined;
using anvilmill::Verdict;

class VerdictTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VerdictTest);
    CPPUNIT_TEST(combinedIsNotRunOnlyIfBothAre);
    CPPUNIT_TEST(asStringReturnsWireNames);
    CPPUNIT_TEST_SUITE_END();

public:
    void combinedIsNotRunOnlyIfBothAre()
    {
        CPPUNIT_ASSERT(combined(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun);
        CPPUNIT_ASSERT(combined(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(combined(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran);
    }

    void asStringReturnsWireNames()
    {
        CPPUNIT_ASSERT(asString(Verdict::NotRun) == "notRun");
        CPPUNIT_ASSERT(asString(Verdict::MayHaveRun) == "mayHaveRun");
        CPPUNIT_ASSERT(asString(Verdict::Ran) == "ran");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerdictTest);
