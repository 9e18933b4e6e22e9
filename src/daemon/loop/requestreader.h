#pragma once

#include "loop/httpserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <utility>

namespace anvilmill::daemon {

/// \brief Parses the bytes of one connection into requests, and refuses those over the limits.
///
/// Beast's own reading function buffers chunk size lines and trailers without bound.
///
/// Thread safety: only to be used on the event loop's thread.
class RequestReader
{
public:
    enum class Progress { Incomplete, Complete, Refused };

    /// Why a request is refused.
    struct Refusal
    {
        unsigned status = 400;
        /// The limit that was reached; nullptr if the request is malformed.
        const char *cause = nullptr;
        std::string reason;
    };

    /// \brief Prepares for the next request; received bytes that belong to it are kept.
    void begin(const HttpServerLimits &limits);

    /// \brief Space for the next bytes; valid until the next call.
    [[nodiscard]] boost::asio::mutable_buffer space();

    /// \brief Adds \p count bytes, which were written to space().
    void received(std::size_t count);

    /// \brief Parses what has arrived. Precondition: begin() was called, and release() was not.
    [[nodiscard]] Progress parse();

    /// Precondition: parse() returned Progress::Refused.
    [[nodiscard]] const Refusal &refusal() const { return *m_refusal; }

    /// \brief The request, and whether the connection persists. Frees unused memory.
    ///
    /// Precondition: parse() returned Progress::Complete.
    [[nodiscard]] std::pair<HttpRequest, bool> release();

    /// \brief Discards everything.
    void clear();

    [[nodiscard]] bool hasBytes() const noexcept { return m_buffer.size() > 0; }

    /// \brief Estimated memory that the reader holds.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Progress refuse(Refusal refusal);
    Progress failed(boost::system::error_code error);
    void noteFields(std::size_t used);

    HttpServerLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::optional<Refusal> m_refusal;
    std::size_t m_wireBytes = 0;
    std::size_t m_fieldBytes = 0;
};

/// \brief Estimated memory that \p request holds.
[[nodiscard]] std::size_t heldBytes(const HttpRequest &request);

} // namespace anvilmill::daemon
