#include "peerframe.h"

namespace anvilmill::daemon {

namespace {

using Json = nlohmann::json;

// The parser recurses once per nesting level; the limit prevents a stack overflow on hostile input.
constexpr int MaxDepth = 48;

/// SAX handler that aborts parsing when the nesting depth exceeds the limit.
class DepthCheck final : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= MaxDepth; }
    bool start_array(std::size_t) override { return ++m_depth <= MaxDepth; }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool leave()
    {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

} // namespace

std::string encodeFrame(const wire::peer::Frame &frame)
{
    std::string bytes;
    Json::to_cbor(Json(frame), bytes);
    return bytes;
}

Result<wire::peer::Frame> decodeFrame(const std::string &bytes)
{
    DepthCheck check;
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor))
        return Error{"not CBOR, or nested too deeply", {}};
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
