#include "anvilmill/admission/placement.h"
#include "anvilmill/admission/submissionkey.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace anvilmill;

namespace {

const std::vector<std::string> DataCentres = {"bole", "piassa", "kazanchis", "merkato"};
constexpr HashSecret Secret{7, 11};

SubmissionKey parsed(const std::string &text)
{
    const Result<SubmissionKey> key = SubmissionKey::parse(text, DataCentres, Secret);
    CPPUNIT_ASSERT(key.hasValue());
    return *key;
}

Placement placementOf(std::size_t hosts)
{
    View view{1, {}};
    for (std::size_t i = 0; i < hosts; ++i)
        view.members.push_back({"bole", "host" + std::to_string(i), 1});
    return Placement(view);
}

} // namespace

class AdmissionKeyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionKeyTest);
    CPPUNIT_TEST(hashIsSipHash);
    CPPUNIT_TEST(ticketRoundTripsAsText);
    CPPUNIT_TEST(ticketIsHomedAtItsIssuer);
    CPPUNIT_TEST(keyThatIsNoTicketIsOpaque);
    CPPUNIT_TEST(homeIsNamedByThePrefixOrDerivedFromTheHash);
    CPPUNIT_TEST(uuidOfVersion7HasAnIssueTime);
    CPPUNIT_TEST(invalidKeysAreRejected);
    CPPUNIT_TEST(directoryAndBackupDiffer);
    CPPUNIT_TEST(lossOfAMemberReassignsOnlyItsKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void hashIsSipHash()
    {
        // First vectors of the reference implementation: key 00..0f, output as little-endian words.
        const HashSecret reference{0x0706050403020100ULL, 0x0f0e0d0c0b0a0908ULL};
        const KeyFingerprint empty = fingerprintOf("", reference);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xe6a825ba047f81a3ULL}, empty.low);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x930255c71472f66dULL}, empty.high);
    }

    void ticketRoundTripsAsText()
    {
        Ticket ticket{{"bole", "10.0.0.7", 42}, WallTime(std::chrono::milliseconds(1'700'000)), 9};
        CPPUNIT_ASSERT_EQUAL(std::string("bole.10.0.0.7.42.1700000.9"), ticket.asString());
        const std::optional<Ticket> read = Ticket::parse(ticket.asString());
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->issuer == ticket.issuer);
        CPPUNIT_ASSERT(read->issuedAt == ticket.issuedAt);
        CPPUNIT_ASSERT_EQUAL(ticket.sequence, read->sequence);
    }

    void ticketIsHomedAtItsIssuer()
    {
        const SubmissionKey key = parsed("piassa.host1.1.1700000.3");
        CPPUNIT_ASSERT(key.ticket().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("piassa"), key.home());
        CPPUNIT_ASSERT(key.issuedAt() == WallTime(std::chrono::milliseconds(1'700'000)));
    }

    void keyThatIsNoTicketIsOpaque()
    {
        for (const char *text : {"a.b.c.d.e", "bole.1.2.3", "elsewhere.h.1.2.3", "bole.h.1.-2.3",
                                 "bole.h.1.99999999999999999.3", ".h.1.2.3", "order-17"})
            CPPUNIT_ASSERT(!parsed(text).ticket());
    }

    void homeIsNamedByThePrefixOrDerivedFromTheHash()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("merkato"), parsed("merkato/order-17").home());
        std::map<std::string, int> homes;
        for (int i = 0; i < 4000; ++i)
            ++homes[parsed("elsewhere/order-" + std::to_string(i)).home()];
        CPPUNIT_ASSERT_EQUAL(DataCentres.size(), homes.size());
        for (const auto &[home, count] : homes)
            CPPUNIT_ASSERT(count > 800 && count < 1200);
    }

    void uuidOfVersion7HasAnIssueTime()
    {
        const auto issued = parsed("bole/017f22e2-79b0-7cc3-98c4-dc0c0c07398f").issuedAt();
        CPPUNIT_ASSERT(issued == WallTime(std::chrono::milliseconds(0x017f22e279b0)));
        CPPUNIT_ASSERT(!parsed("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").issuedAt());
        CPPUNIT_ASSERT(!parsed("order-17").issuedAt());
    }

    void invalidKeysAreRejected()
    {
        const std::string tooLong(SubmissionKey::MaxLength + 1, 'x');
        for (const std::string &text : {std::string(), std::string("a b"), tooLong})
            CPPUNIT_ASSERT(!SubmissionKey::parse(text, DataCentres, Secret));
    }

    void directoryAndBackupDiffer()
    {
        const Placement eight = placementOf(8);
        std::map<std::size_t, int> directories;
        for (int i = 0; i < 8000; ++i) {
            const Placement::Hosts hosts = eight.hostsOf(fingerprintOf(std::to_string(i), Secret));
            CPPUNIT_ASSERT(hosts.directory != hosts.backup);
            ++directories[hosts.directory];
        }
        for (const auto &[host, count] : directories)
            CPPUNIT_ASSERT(count > 800 && count < 1200);
        const KeyFingerprint any = fingerprintOf("any", Secret);
        CPPUNIT_ASSERT_EQUAL(Placement::None, placementOf(1).hostsOf(any).backup);
        CPPUNIT_ASSERT_EQUAL(Placement::None, placementOf(0).hostsOf(any).directory);
    }

    void lossOfAMemberReassignsOnlyItsKeys()
    {
        const Placement eight = placementOf(8);
        const Placement seven = placementOf(7);
        for (int i = 0; i < 1000; ++i) {
            const KeyFingerprint key = fingerprintOf(std::to_string(i), Secret);
            const Placement::Hosts before = eight.hostsOf(key);
            const std::size_t expected = before.directory == 7 ? before.backup : before.directory;
            CPPUNIT_ASSERT_EQUAL(expected, seven.hostsOf(key).directory);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionKeyTest);
