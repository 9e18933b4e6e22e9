#include "framecodec.h"

#include "anvilmill/documentsize.h"

#include <exception>
#include <string_view>

namespace anvilmill::daemon::mesh {

using wire::meshframe::MeshFrame;

namespace {

/// Frame, list, message, list, value, and one spare level. The decoder is recursive, so a frame
/// with a million levels would exhaust the stack.
constexpr std::size_t MaxNesting = 6;

/// A decoded value takes up to 100 bytes, however short it is in the frame: 4 MB of one-byte values
/// would take more memory than a small machine has. A hundred starts have about 2,000 values.
constexpr std::size_t MaxValues = 200000;

} // namespace

std::vector<std::uint8_t> encodeFrame(const MeshFrame &frame)
{
    nlohmann::json document;
    wire::meshframe::to_json(document, frame);
    return nlohmann::json::to_cbor(document);
}

Result<MeshFrame> decodeFrame(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto error =
            documentError(bytes, nlohmann::json::input_format_t::cbor, {MaxNesting, MaxValues});
    if (error)
        return Error{*error, {}};
    // Generated code throws other exceptions than the parser's for unknown enum values.
    try {
        MeshFrame frame;
        wire::meshframe::from_json(nlohmann::json::from_cbor(data, data + size), frame);
        return frame;
    } catch (const std::exception &exception) {
        return Error{exception.what(), {}};
    }
}

} // namespace anvilmill::daemon::mesh
