#include "peerframe.h"

#include "anvilmill/documentsize.h"

namespace anvilmill::daemon {

namespace {

using Json = nlohmann::json;

/// Several handovers of 2,000 records, the largest messages.
constexpr DocumentLimits FrameLimits = {48, 200000};

} // namespace

std::string encodeFrame(const wire::peer::Frame &frame)
{
    std::string bytes;
    Json::to_cbor(Json(frame), bytes);
    return bytes;
}

Result<wire::peer::Frame> decodeFrame(const std::string &bytes)
{
    if (const auto error = documentError(bytes, Json::input_format_t::cbor, FrameLimits))
        return Error{*error, {}};
    try {
        return Json::from_cbor(bytes).get<wire::peer::Frame>();
    } catch (const std::exception &problem) {
        return Error{problem.what(), {}};
    }
}

wire::peer::Hello makeHello(const HostIncarnation &self, const std::string &address)
{
    wire::peer::Hello hello;
    hello.protocol = PeerProtocol;
    hello.dataCentre = self.dataCentre;
    hello.host = self.host;
    hello.incarnation = static_cast<std::int64_t>(self.incarnation);
    hello.address = address;
    return hello;
}

HostIncarnation asIncarnation(const wire::peer::Hello &hello)
{
    return {hello.dataCentre, hello.host, static_cast<std::uint64_t>(hello.incarnation)};
}

} // namespace anvilmill::daemon
