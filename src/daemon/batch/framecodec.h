#pragma once

#include "anvilmill/result.h"

#include <meshframe.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilmill::daemon::mesh {

/// \brief Encodes a frame for transmission.
[[nodiscard]] std::vector<std::uint8_t> encodeFrame(const wire::meshframe::MeshFrame &frame);

/// \brief Reads a frame; returns an error for any invalid input.
[[nodiscard]] Result<wire::meshframe::MeshFrame> decodeFrame(const std::uint8_t *data,
                                                             std::size_t size);

} // namespace anvilmill::daemon::mesh
