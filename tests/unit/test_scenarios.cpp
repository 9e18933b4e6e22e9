#include "scenarioparser.h"
#include "scenariorunner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace anvilmill;
using namespace anvilmill::tools;

namespace {

const std::string Folder = std::string(ANVILMILL_SOURCE_DIR) + "/tests/scenarios";

std::vector<std::string> scenarioFiles()
{
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(Folder))
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    return files;
}

std::string contentOf(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string parseErrorOf(const std::string &text)
{
    const auto scenario = parseScenario("f", text);
    return scenario ? "" : scenario.error().asString();
}

/// True if KNOWN-RED.txt lists the scenario by its file name.
bool isKnownRed(const std::string &file)
{
    static const std::string list = contentOf(std::string(ANVILMILL_SOURCE_DIR) + "/KNOWN-RED.txt");
    return list.find(std::filesystem::path(file).filename().string()) != std::string::npos;
}

std::string failureOfFile(const std::string &file, std::uint64_t seed)
{
    const auto scenario = parseScenario(file, contentOf(file));
    if (!scenario)
        return scenario.error().asString();
    const auto error = runScenario(*scenario, seed);
    return error ? "seed " + std::to_string(seed) + ": " + error->asString() : "";
}

std::string failureOf(const std::string &text)
{
    const auto scenario = parseScenario("f", text);
    CPPUNIT_ASSERT_MESSAGE(scenario ? "" : scenario.error().asString(), scenario.hasValue());
    const auto error = runScenario(*scenario, 1);
    return error ? error->asString() : "";
}

} // namespace

class ScenariosTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScenariosTest);
    CPPUNIT_TEST(allScenariosPass);
    CPPUNIT_TEST(knownRedScenariosStillFail);
    CPPUNIT_TEST(errorsNameFileAndLine);
    CPPUNIT_TEST(unmetExpectationsAreReported);
    CPPUNIT_TEST(violatedGuaranteesAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void allScenariosPass()
    {
        const std::vector<std::string> files = scenarioFiles();
        CPPUNIT_ASSERT(!files.empty());
        for (const std::string &file : files) {
            if (isKnownRed(file))
                continue;
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
                CPPUNIT_ASSERT_EQUAL(std::string(), failureOfFile(file, seed));
        }
    }

    // Keeps the list current: the entry of a scenario that passes again must be removed.
    void knownRedScenariosStillFail()
    {
        for (const std::string &file : scenarioFiles()) {
            if (!isKnownRed(file))
                continue;
            const std::string failure = failureOfFile(file, 1);
            std::cout << "\nknown red: " << failure << std::endl;
            CPPUNIT_ASSERT_MESSAGE(file + " passes: remove it from KNOWN-RED.txt",
                                   !failure.empty());
        }
    }

    void errorsNameFileAndLine()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("f:2: unknown statement 'nonsense'"),
                             parseErrorOf("executor e1\nnonsense\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:1: expected a time such as 250ms or 3s, found '5m'"),
                             parseErrorOf("at 5m submit j\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:1: 'e9' is not a known executor"),
                             parseErrorOf("at 1s kill e9"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:1: 'j' is not a known job"),
                             parseErrorOf("expect j finished"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:1: unexpected 'more'"),
                             parseErrorOf("executor e1 more"));
    }

    void unmetExpectationsAreReported()
    {
        const std::string run =
                "dispatcher firstCome\nexecutor e1\nat 0s submit j tasks 2 run 100ms\n";
        CPPUNIT_ASSERT_EQUAL(std::string(""), failureOf(run + "expect j finished by 102ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:4: j is 'finished'"),
                             failureOf(run + "expect j failed"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:4: j ended at 101 ms"),
                             failureOf(run + "expect j finished by 50ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("f:4: e1 has 2 starts"),
                             failureOf(run + "expect starts e1 atMost 1"));
    }

    void violatedGuaranteesAreReported()
    {
        // A planned stop kills the executor while a task is still running.
        const std::string failure = failureOf("executor e1\nat 0s submit j run 5s\n"
                                              "at 1s leave e1\nat 2s kill e1\nexpect j failed\n");
        CPPUNIT_ASSERT(failure.find("planned stop cuts nothing") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenariosTest);
