#pragma once

#include "anvilmill/result.h"

#include <meshframe.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilmill::daemon::mesh {

/// \brief A frame as it goes over a connection.
[[nodiscard]] std::vector<std::uint8_t> encodeFrame(const wire::meshframe::MeshFrame &frame);

/// \brief Reads a frame; an error if it isn't one, whatever the bytes are.
[[nodiscard]] Result<wire::meshframe::MeshFrame> decodeFrame(const std::uint8_t *data,
                                                             std::size_t size);

} // namespace anvilmill::daemon::mesh
