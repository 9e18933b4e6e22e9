#include "base64.h"

#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;

class Base64Test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Base64Test);
    CPPUNIT_TEST(knownTextsAreEncodedWithPadding);
    CPPUNIT_TEST(arbitraryBytesRoundTrip);
    CPPUNIT_TEST(invalidBase64IsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void knownTextsAreEncodedWithPadding()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet::toBase64(""));
        CPPUNIT_ASSERT_EQUAL(std::string("Zg=="), fleet::toBase64("f"));
        CPPUNIT_ASSERT_EQUAL(std::string("Zm8="), fleet::toBase64("fo"));
        CPPUNIT_ASSERT_EQUAL(std::string("Zm9v"), fleet::toBase64("foo"));
        CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), fleet::toBase64("foob"));
    }

    void arbitraryBytesRoundTrip()
    {
        constexpr double Bytes = 256.0;
        SeededRandom random(11);
        for (std::size_t length = 0; length < 300; ++length) {
            std::string bytes;
            for (std::size_t i = 0; i < length; ++i)
                bytes.push_back(static_cast<char>(static_cast<int>(random.nextUnit() * Bytes)));
            const auto decoded = fleet::fromBase64(fleet::toBase64(bytes));
            CPPUNIT_ASSERT(decoded);
            CPPUNIT_ASSERT_EQUAL(bytes, *decoded);
        }
    }

    void invalidBase64IsRejected()
    {
        for (const char *const text : {"Z", "Zm9", "Zm9!", "Zm 9", "====", "=m9v", "Zg==Zg=="})
            CPPUNIT_ASSERT_MESSAGE(text, !fleet::fromBase64(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Base64Test);
