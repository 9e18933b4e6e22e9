#include "requestreader.h"

#include "limitreport.h"

#include <boost/beast/http/message.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilmill::daemon {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Most requests are below 4,000 bytes; a larger piece would be held by each slow connection.
constexpr std::size_t PieceBytes = 8U << 10U;

/// A chunk of one byte takes 6 bytes. The rest allows for chunk sizes with leading zeros and for
/// short chunk extensions.
constexpr std::size_t WireBytesPerBodyByte = 16;

/// Memory of a header field besides its text, in the parser: list node, index node and padding.
constexpr std::size_t FieldOverhead = 96;

HttpRequest asRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.headers.reserve(
            static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    for (const auto &field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

} // namespace

void RequestReader::begin(const HttpServerLimits &limits)
{
    m_limits = limits;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerSize));
    m_parser->body_limit(limits.bodySize);
    m_refusal.reset();
    m_wireBytes = 0;
    m_fieldBytes = 0;
}

boost::asio::mutable_buffer RequestReader::space()
{
    return m_buffer.prepare(PieceBytes);
}

void RequestReader::received(std::size_t count)
{
    m_buffer.commit(count);
}

RequestReader::Progress RequestReader::parse()
{
    while (m_buffer.size() > 0) {
        error_code error;
        const bool isHeader = !m_parser->is_header_done();
        const std::size_t used = m_parser->put(m_buffer.cdata(), error);
        if (isHeader)
            noteFields(used);
        m_buffer.consume(used);
        m_wireBytes += used;
        if (error && error != http::error::need_more)
            return failed(error);
        if (m_parser->is_done())
            return Progress::Complete;
        if (m_wireBytes > 2 * m_limits.headerSize + WireBytesPerBodyByte * m_limits.bodySize)
            return refuse({400, limitcause::Framing, "too many bytes between the chunks"});
        if (error || used == 0)
            break;
    }
    // What remains is an incomplete header, chunk size line or trailer.
    if (m_buffer.size() < m_limits.headerSize)
        return Progress::Incomplete;
    if (!m_parser->is_header_done())
        return refuse({431, limitcause::Header, "header too large"});
    return refuse({400, limitcause::Framing, "chunk size line or trailer too large"});
}

std::pair<HttpRequest, bool> RequestReader::release()
{
    const bool isKeepAlive = m_parser->keep_alive();
    std::pair<HttpRequest, bool> result(asRequest(m_parser->release()), isKeepAlive);
    m_parser.reset();
    m_fieldBytes = 0;
    m_buffer.shrink_to_fit();
    return result;
}

void RequestReader::clear()
{
    m_parser.reset();
    m_fieldBytes = 0;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

std::size_t RequestReader::heldBytes() const
{
    return m_buffer.capacity() + m_fieldBytes + (m_parser ? m_parser->get().body().size() : 0);
}

RequestReader::Progress RequestReader::refuse(Refusal refusal)
{
    m_refusal = std::move(refusal);
    return Progress::Refused;
}

RequestReader::Progress RequestReader::failed(error_code error)
{
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return refuse({413, limitcause::Body, error.message()});
    if (error == http::error::header_limit)
        return refuse({431, limitcause::Header, error.message()});
    return refuse({400, nullptr, error.message()});
}

// Beast stores fields as they arrive: a header of 16 KB with empty fields takes 400 KB. Until the
// header is complete, its lines are counted; the bytes after it may contain many more.
void RequestReader::noteFields(std::size_t used)
{
    const auto *const text = static_cast<const char *>(m_buffer.cdata().data());
    if (!m_parser->is_header_done()) {
        m_fieldBytes +=
                used
                + FieldOverhead * static_cast<std::size_t>(std::count(text, text + used, '\n'));
        return;
    }
    const auto &message = m_parser->get();
    m_fieldBytes = 0;
    for (const auto &field : message)
        m_fieldBytes += FieldOverhead + field.name_string().size() + field.value().size();
}

std::size_t heldBytes(const HttpRequest &request)
{
    // The handler keeps a decoded copy of the body until the response.
    std::size_t bytes = 2 * request.body.capacity() + request.target.capacity();
    bytes += request.headers.capacity() * sizeof(request.headers.front());
    return bytes;
}

} // namespace anvilmill::daemon
