#include "anvilmill/configuration/sheetparser.h"

#include "anvilmill/randomsource.h"
#include "fakes/randomsheet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

using namespace anvilmill;

namespace {

const std::string ServiceHeader = "kind,name,size,urgency\n";

std::string errorsOf(const std::string &text,
                     const std::optional<Inventory> &inventory = std::nullopt)
{
    std::string all;
    const SheetParse parse = parseSheet(text, "day.csv", inventory);
    CPPUNIT_ASSERT_EQUAL(parse.errors.empty(), parse.sheet.has_value());
    for (const Error &error : parse.errors)
        all += error.asString() + "\n";
    return all;
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

Inventory smallInventory()
{
    Inventory inventory;
    inventory.entryHosts = {"bole/entry-1", "bole/entry-2", "piassa/entry-1"};
    inventory.workers = {"bole/worker-1"};
    inventory.slots = 100;
    return inventory;
}

std::string stopOf(const std::string &name, const std::string &role)
{
    return "stop," + name + "," + role + ",2026-12-04T12:00:00Z\n";
}

} // namespace

class SheetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetTest);
    CPPUNIT_TEST(sampleIsValid);
    CPPUNIT_TEST(defaultsFillEmptyCells);
    CPPUNIT_TEST(everyErrorIsReportedWithItsPosition);
    CPPUNIT_TEST(malformedLineIsReportedAndParsingContinues);
    CPPUNIT_TEST(quotedCellsAndCommentsKeepPositions);
    CPPUNIT_TEST(missingHeaderIsReportedOnce);
    CPPUNIT_TEST(columnOfAnotherRowKindIsAnError);
    CPPUNIT_TEST(invalidValuesAreErrors);
    CPPUNIT_TEST(stopsMustReferToKnownHostsAndServices);
    CPPUNIT_TEST(totalSizeIsChecked);
    CPPUNIT_TEST(dataCentreMustKeepAnEntryHost);
    CPPUNIT_TEST(canonicalTextRoundTrips);
    CPPUNIT_TEST(mutatedTextParsesOrReportsErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void sampleIsValid()
    {
        std::ifstream file(ANVILMILL_SOURCE_DIR "/docs/sample-sheet.csv");
        const std::string text{std::istreambuf_iterator<char>(file),
                               std::istreambuf_iterator<char>()};
        const SheetParse parse = parseSheet(text, "sample");
        CPPUNIT_ASSERT(parse.sheet);
        const ServiceRow *alert = parse.sheet->findService("swarm-alert");
        CPPUNIT_ASSERT(alert);
        CPPUNIT_ASSERT_EQUAL(120, alert->size);
        CPPUNIT_ASSERT(alert->urgency == Urgency::Urgent);
        CPPUNIT_ASSERT(alert->latency == std::chrono::milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(99.9, alert->objective);
        CPPUNIT_ASSERT_EQUAL(4, parse.sheet->findTeam("keepers")->weight);
        CPPUNIT_ASSERT(!parse.sheet->findService("swarm"));
    }

    void defaultsFillEmptyCells()
    {
        const SheetParse parse = parseSheet(ServiceHeader + "service,stock,20,\n", "day.csv");
        CPPUNIT_ASSERT(parse.sheet);
        CPPUNIT_ASSERT(parse.sheet->services.front().urgency == Urgency::Normal);
    }

    void everyErrorIsReportedWithItsPosition()
    {
        const std::string errors = errorsOf("kind,name,size,colour,size\n"
                                            "service,stock,-5,x\n"
                                            "servce,quote,10\n"
                                            "service,quote,ten\n"
                                            "service,quote,10,,\n"
                                            "service,,10\n"
                                            "service,swap,10\n"
                                            "service,swap,11,,,extra\n");
        CPPUNIT_ASSERT(has(errors, "day.csv:1:16: unknown column 'colour'; known are name, size"));
        CPPUNIT_ASSERT(has(errors, "day.csv:1:23: the column 'size' appears twice"));
        CPPUNIT_ASSERT(has(errors, "day.csv:2:15: size: '-5' is out of range; allowed are 0 to"));
        CPPUNIT_ASSERT(has(errors, "day.csv:3:1: unknown kind of row 'servce'"));
        CPPUNIT_ASSERT(has(errors, "day.csv:4:15: size: 'ten' is not a whole number"));
        CPPUNIT_ASSERT(has(errors, "day.csv:5:1: duplicate service 'quote'; first at line 4"));
        CPPUNIT_ASSERT(has(errors, "day.csv:6:9: the column 'name' is empty"));
        CPPUNIT_ASSERT(has(errors, "day.csv:8:1: duplicate service 'swap'; first at line 7"));
        CPPUNIT_ASSERT(has(errors, "day.csv:8:19: the cell 'extra' has no column in the header"));
    }

    void malformedLineIsReportedAndParsingContinues()
    {
        const std::string errors = errorsOf(ServiceHeader
                                            + "service,st\"ock,1,\n"
                                              "service,quote,many,\n"
                                              "service,\"swap,1,\n");
        CPPUNIT_ASSERT(has(errors, "day.csv:2:11: unexpected quote; quote the whole"));
        CPPUNIT_ASSERT(has(errors, "day.csv:3:15: size: 'many' is not a whole number"));
        CPPUNIT_ASSERT(has(errors, "day.csv:4:1: missing closing quote"));
    }

    void quotedCellsAndCommentsKeepPositions()
    {
        const std::string errors = errorsOf("\xEF\xBB\xBF# don't \"read\" this\r\n\r\n"
                                            "kind,name,size\r\n"
                                            "service, \"st\xC3\xA9\" ,x\r\n");
        CPPUNIT_ASSERT(has(errors, "day.csv:4:10: name: 'st\xC3\xA9' is not a name"));
        CPPUNIT_ASSERT(has(errors, "day.csv:4:17: size: 'x' is not a whole number"));
    }

    void missingHeaderIsReportedOnce()
    {
        const std::string errors = errorsOf("service,stock,5\nservice,quote,6\n");
        CPPUNIT_ASSERT_EQUAL(std::string("day.csv:1:1: the sheet must begin with a header, a row "
                                         "whose first cell is 'kind'\n"),
                             errors);
    }

    void columnOfAnotherRowKindIsAnError()
    {
        const std::string errors = errorsOf("kind,name,size,quota\nteam,keepers,5,6\n");
        CPPUNIT_ASSERT(has(errors, "day.csv:2:14: the column 'size' does not apply to team rows"));
        CPPUNIT_ASSERT(has(errorsOf("kind,name\nteam,keepers\n"),
                           "day.csv:2:1: team rows need the column 'quota'"));
    }

    void invalidValuesAreErrors()
    {
        const std::string errors = errorsOf("kind,name,size,objective,latency,queue-wait\n"
                                            "service,a,99999999999,100,5,2h\n"
                                            "service,b/c,1,nan,0ms,1s\n"
                                            "kind,name,role,at\n"
                                            "stop,a/b,worker,2026-02-30T00:00:00Z\n"
                                            "stop,a/c,rack,2026-02-03 00:00\n");
        CPPUNIT_ASSERT(has(errors, ":2:11: size: '99999999999' is out of range"));
        CPPUNIT_ASSERT(has(errors, ":2:23: objective: '100' is out of range; allowed are 50 to"));
        CPPUNIT_ASSERT(has(errors, ":2:27: latency: '5' is not a duration"));
        CPPUNIT_ASSERT(has(errors, ":2:29: queue-wait: '2h' is out of range; allowed are 0.001s"));
        CPPUNIT_ASSERT(has(errors, ":3:15: objective: 'nan' is out of range"));
        CPPUNIT_ASSERT(has(errors, ":3:19: latency: '0ms' is out of range"));
        CPPUNIT_ASSERT(has(errors, ":5:17: at: '2026-02-30T00:00:00Z' is not a time"));
        CPPUNIT_ASSERT(has(errors, ":6:10: role: 'rack' is not known; choose one of entry-host"));
        CPPUNIT_ASSERT(has(errorsOf("kind,name,quota\nteam,a/b,1\n"), "may not contain '/'"));
    }

    void stopsMustReferToKnownHostsAndServices()
    {
        const std::string header = "kind,name,role,at\n";
        const std::string errors =
                errorsOf(header + stopOf("stock", "service") + stopOf("bole/worker-9", "worker")
                                 + stopOf("bole", "entry-host") + stopOf("bole/worker-1", "worker"),
                         smallInventory());
        CPPUNIT_ASSERT(has(errors, ":2:1: the stop names the service 'stock', which the sheet"));
        CPPUNIT_ASSERT(
                has(errors, ":3:1: the stop names the worker 'bole/worker-9', which is not"));
        CPPUNIT_ASSERT(has(errors, ":4:1: 'bole' is not a host; write dataCentre/host"));
        CPPUNIT_ASSERT(!has(errors, ":5:"));
        CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(header + stopOf("bole/worker-9", "worker")));
    }

    void totalSizeIsChecked()
    {
        const std::string text = ServiceHeader + "service,a,60,\nservice,b,41,\n";
        CPPUNIT_ASSERT(has(errorsOf(text, smallInventory()),
                           "add up to 101, more than the 100 slots of the inventory"));
        CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(text));
        CPPUNIT_ASSERT(has(errorsOf(ServiceHeader + "service,a,900000,\nservice,b,100001,\n"),
                           "more than the 1000000 that a sheet may hold"));
    }

    void dataCentreMustKeepAnEntryHost()
    {
        const std::string header = "kind,name,role,at\n";
        const std::string one = header + stopOf("bole/entry-1", "entry-host");
        CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(one, smallInventory()));
        CPPUNIT_ASSERT(has(errorsOf(one + stopOf("bole/entry-2", "entry-host"), smallInventory()),
                           "day.csv:3:1: with this stop the data centre 'bole' has no entry host"));
    }

    void canonicalTextRoundTrips()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            SeededRandom random(seed);
            const Sheet sheet = fakes::randomSheet(random, 30, 10, 30);
            const std::string text = canonicalText(sheet);
            const SheetParse parse = parseSheet(text, "canonical");
            CPPUNIT_ASSERT(parse.sheet);
            CPPUNIT_ASSERT(*parse.sheet == sheet);
            CPPUNIT_ASSERT_EQUAL(text, canonicalText(*parse.sheet));
            CPPUNIT_ASSERT_EQUAL(digestOf(sheet), digestOf(*parse.sheet));
        }
    }

    void mutatedTextParsesOrReportsErrors()
    {
        const std::string alphabet = ",\"\n\r# -9aZ\xC3";
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            SeededRandom random(seed);
            std::string text = canonicalText(fakes::randomSheet(random, 5, 3, 5));
            for (int i = 0; i < 4; ++i)
                text[random.nextBelow(text.size())] = alphabet[random.nextBelow(alphabet.size())];
            const SheetParse parse = parseSheet(text, "mutated");
            CPPUNIT_ASSERT_EQUAL(parse.errors.empty(), parse.sheet.has_value());
            for (const Error &error : parse.errors)
                CPPUNIT_ASSERT(error.position.isKnown() && !error.reason.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetTest);
