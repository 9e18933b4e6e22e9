#include "anvilmill/configuration/sheetdiff.h"

#include "anvilmill/configuration/sheetparser.h"
#include "anvilmill/randomsource.h"
#include "fakes/randomsheet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;

namespace {

Sheet sheetOf(const std::string &rows)
{
    const SheetParse parse = parseSheet("kind,name,size,quota,weight\n" + rows, "test");
    CPPUNIT_ASSERT(parse.sheet);
    return *parse.sheet;
}

} // namespace

class SheetDiffTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetDiffTest);
    CPPUNIT_TEST(changesAreFormattedOnePerLine);
    CPPUNIT_TEST(equalSheetsHaveNoChanges);
    CPPUNIT_TEST(patchTransformsOneSheetIntoTheOther);
    CPPUNIT_TEST(malformedPatchIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesAreFormattedOnePerLine()
    {
        const Sheet before = sheetOf("service,stock,200,,\nservice,swap,10,,\nteam,crews,,5,1\n");
        const Sheet after = sheetOf("service,stock,100,,\nteam,crews,,6,2\nteam,shops,,7,1\n");
        CPPUNIT_ASSERT_EQUAL(std::string("~ service stock: size 200 -> 100\n"
                                         "- service swap\n"
                                         "~ team crews: quota 5 -> 6, weight 1 -> 2\n"
                                         "+ team shops: quota 7, weight 1\n"),
                             asText(diffSheets(before, after)));
    }

    void equalSheetsHaveNoChanges()
    {
        SeededRandom random(7);
        const Sheet sheet = fakes::randomSheet(random, 10, 10, 10);
        CPPUNIT_ASSERT(diffSheets(sheet, sheet).empty());
        const SheetPatch patch = patchBetween(sheet, sheet);
        CPPUNIT_ASSERT(patch.rows.empty() && patch.removed.empty());
    }

    void patchTransformsOneSheetIntoTheOther()
    {
        SeededRandom random(11);
        Sheet sheet;
        for (int i = 0; i < 300; ++i) {
            Sheet next = sheet;
            fakes::applyRandomChanges(next, random);
            const Result<Sheet> result = patched(sheet, patchBetween(sheet, next));
            CPPUNIT_ASSERT(result);
            CPPUNIT_ASSERT(*result == next);
            sheet = next;
        }
    }

    void malformedPatchIsAnError()
    {
        CPPUNIT_ASSERT(!patched(Sheet(), {"kind,name\nservice,stock\n", {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetDiffTest);
