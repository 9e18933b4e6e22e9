#include "reportfetch.h"

#include <algorithm>
#include <atomic>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <thread>

namespace anvilmill::tools {

namespace {

constexpr std::size_t ThreadLimit = 16;
constexpr std::size_t BodyLimit = 16U << 20U;

/// Reads at most BodyLimit bytes; a longer body is truncated and fails to parse.
std::string readBody(std::istream &stream)
{
    std::string body;
    char chunk[16384];
    while (body.size() < BodyLimit && stream.read(chunk, sizeof chunk).gcount() > 0)
        body.append(chunk, static_cast<std::size_t>(stream.gcount()));
    return body;
}

Result<HostObjectives> fetchOne(const std::string &address, std::chrono::milliseconds timeout)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(
                std::chrono::duration_cast<std::chrono::microseconds>(timeout).count()));
        Poco::Net::HTTPRequest request("GET", "/v1/objectives", "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        const std::string body = readBody(session.receiveResponse(response));
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            return Error{"HTTP status " + std::to_string(response.getStatus()), {}};
        return nlohmann::json::parse(body).get<HostObjectives>();
    } catch (const Poco::Exception &error) {
        return Error{error.displayText(), {}};
    } catch (const std::exception &error) {
        return Error{error.what(), {}};
    }
}

} // namespace

std::vector<HostReply> fetchObjectives(const std::vector<std::string> &addresses,
                                       std::chrono::milliseconds timeout)
{
    std::vector<HostReply> replies;
    replies.reserve(addresses.size());
    for (const std::string &address : addresses)
        replies.push_back({address, Error{"not requested", {}}});
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < addresses.size(); i = next++)
            replies[i].objectives = fetchOne(addresses[i], timeout);
    };
    std::vector<std::thread> threads;
    const std::size_t count = std::min(ThreadLimit, addresses.size());
    threads.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return replies;
}

} // namespace anvilmill::tools
