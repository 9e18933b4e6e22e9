#include "commandline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

namespace {

/// Redirects a stream into a string during its own lifetime.
class OutputCapture
{
public:
    explicit OutputCapture(std::ostream &stream)
        : m_stream(stream)
        , m_previous(stream.rdbuf(m_text.rdbuf()))
    {
    }
    ~OutputCapture() { m_stream.rdbuf(m_previous); }
    OutputCapture(const OutputCapture &) = delete;
    OutputCapture &operator=(const OutputCapture &) = delete;

    [[nodiscard]] std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::ostream &m_stream;
    std::streambuf *m_previous;
};

const std::string Sample = ANVILMILL_SOURCE_DIR "/docs/sample-sheet.csv";
const std::string Inventory = ANVILMILL_SOURCE_DIR "/docs/sample-inventory.csv";

int run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), {"anvilmill", "sheet"});
    return anvilmill::tools::runCommandLine(arguments);
}

} // namespace

class SheetCommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetCommandTest);
    CPPUNIT_TEST(checkAcceptsTheSample);
    CPPUNIT_TEST(errorsGoToStandardErrorWithFileAndLine);
    CPPUNIT_TEST(usageErrorsNameTheFlag);
    CPPUNIT_TEST(diffOfASheetWithItselfIsEmpty);
    CPPUNIT_TEST_SUITE_END();

public:
    void checkAcceptsTheSample()
    {
        const OutputCapture out(std::cout);
        CPPUNIT_ASSERT_EQUAL(0, run({"check", Sample, "--inventory", Inventory}));
        CPPUNIT_ASSERT(out.text().find("services=3 stops=3 teams=3 digest=") == 0);
    }

    void errorsGoToStandardErrorWithFileAndLine()
    {
        const OutputCapture error(std::cerr);
        CPPUNIT_ASSERT_EQUAL(1, run({"check", Inventory}));
        CPPUNIT_ASSERT(error.text().find(Inventory + ":1:1: ") == 0);
        CPPUNIT_ASSERT_EQUAL(1, run({"check", "no-such-file.csv"}));
        CPPUNIT_ASSERT(error.text().find("no-such-file.csv: ") != std::string::npos);
    }

    void usageErrorsNameTheFlag()
    {
        const OutputCapture error(std::cerr);
        CPPUNIT_ASSERT_EQUAL(2, run({"check", Sample, "--inventry", Inventory}));
        CPPUNIT_ASSERT(error.text().find("--inventry") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, run({"polish"}));
    }

    void diffOfASheetWithItselfIsEmpty()
    {
        const OutputCapture out(std::cout);
        CPPUNIT_ASSERT_EQUAL(0, run({"diff", Sample, Sample}));
        CPPUNIT_ASSERT_EQUAL(std::string(), out.text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetCommandTest);
