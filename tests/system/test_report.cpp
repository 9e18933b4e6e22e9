#include "anvilmill/manualclock.h"
#include "anvilmill/objectives/objectiverecorder.h"
#include "commandline.h"
#include "fakes/temporaryfile.h"
#include "reportfetch.h"
#include "reportformat.h"

#include <cppunit/extensions/HelperMacros.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

using namespace anvilmill;
using namespace anvilmill::tools;
using namespace std::chrono_literals;

namespace {

class FixedReply final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FixedReply(const std::string &body)
        : m_body(body)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest & /*request*/,
                       Poco::Net::HTTPServerResponse &response) override
    {
        response.sendBuffer(m_body.data(), m_body.size());
    }

private:
    const std::string &m_body;
};

class FixedReplyFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FixedReplyFactory(std::string body)
        : m_body(std::move(body))
    {
    }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new FixedReply(m_body);
    }

private:
    std::string m_body;
};

/// An entry host that answers every request with the same body.
class FakeEntryHost
{
public:
    explicit FakeEntryHost(const std::string &body)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(new FixedReplyFactory(body), m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }
    ~FakeEntryHost() { m_server.stopAll(true); }
    FakeEntryHost(const FakeEntryHost &) = delete;
    FakeEntryHost &operator=(const FakeEntryHost &) = delete;

    [[nodiscard]] std::string address() const { return m_socket.address().toString(); }

private:
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

std::string sampleCounts()
{
    const SystemClock clock;
    ObjectiveRecorder recorder(clock, {"", 0.99, 100ms, 24h});
    recorder.record({"<quotes>", 5ms, std::nullopt, ""});
    recorder.record({"<quotes>", 5ms, Verdict::NotRun, "queueFull"});
    return nlohmann::json(recorder.snapshot("first")).dump();
}

/// An address without a listener.
std::string closedAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

} // namespace

class ReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportTest);
    CPPUNIT_TEST(unreachableHostsAreNamed);
    CPPUNIT_TEST(pageEscapesNamesAndIsSelfContained);
    CPPUNIT_TEST(commandWritesJsonAndPage);
    CPPUNIT_TEST(noReachableHostIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

public:
    void unreachableHostsAreNamed()
    {
        const FakeEntryHost good(sampleCounts());
        const FakeEntryHost wrong("{\"host\": 3}");
        const std::string text =
                asText(reportOf({good.address(), wrong.address(), closedAddress()}));
        CPPUNIT_ASSERT(text.find("1 reached, 2 not reached") != std::string::npos);
        CPPUNIT_ASSERT(text.find("NOT REACHED " + wrong.address()) != std::string::npos);
        CPPUNIT_ASSERT(text.find("queueFull") != std::string::npos);
    }

    void pageEscapesNamesAndIsSelfContained()
    {
        const FakeEntryHost good(sampleCounts());
        const std::string page = asHtml(reportOf({good.address()}));
        CPPUNIT_ASSERT(page.find("&lt;quotes&gt;") != std::string::npos);
        CPPUNIT_ASSERT(page.find("<quotes>") == std::string::npos);
        for (const char *reference : {"http:", "https:", "src=", "<link", "<script"})
            CPPUNIT_ASSERT_MESSAGE(reference, page.find(reference) == std::string::npos);
    }

    void commandWritesJsonAndPage()
    {
        const FakeEntryHost good(sampleCounts());
        const tests::TemporaryFile json("report.json", "");
        const tests::TemporaryFile html("report.html", "");
        const int code = runCommandLine({"anvilmill", "report", "--json", json.path(), "--html",
                                         html.path(), good.address()});
        CPPUNIT_ASSERT_EQUAL(int{Success}, code);
        std::ifstream file(json.path());
        const auto report = nlohmann::json::parse(file).get<BurnReport>();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, report.services.front().bad);
        CPPUNIT_ASSERT(std::filesystem::file_size(html.path()) > 1000);
    }

    void noReachableHostIsUnavailable()
    {
        CPPUNIT_ASSERT_EQUAL(int{Unavailable},
                             runCommandLine({"anvilmill", "report", closedAddress()}));
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, runCommandLine({"anvilmill", "report"}));
    }

private:
    static BurnReport reportOf(const std::vector<std::string> &addresses)
    {
        return makeBurnReport(fetchObjectives(addresses, 2s), SystemClock().wallNow());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);
