#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmill {

/// \brief Limits of a document that is to be decoded.
struct DocumentLimits
{
    /// Levels of arrays and objects. The CBOR decoder recurses once per level.
    std::size_t depth = 48;
    /// Values, with arrays and objects. A decoded value takes up to 100 bytes, however short it is in
    /// the document.
    std::size_t values = 200000;
};

/// \brief Why \p bytes are no document of \p format within \p limits; std::nullopt if they are one.
///
/// Stores none of the values, so that a document beyond the limits takes no memory.
/// Thread safety: may be called from any thread.
[[nodiscard]] std::optional<std::string> documentError(std::string_view bytes,
                                                       nlohmann::json::input_format_t format,
                                                       const DocumentLimits &limits);

} // namespace anvilmill
