#pragma once

#include "anvilmill/membership/view.h"
#include "anvilmill/result.h"

#include "peer.h"

#include <string>

namespace anvilmill::daemon {

/// \brief Version of the peer protocol; connections of hosts with another version are refused.
constexpr int PeerProtocol = 1;

/// \brief Encodes \p frame as CBOR.
[[nodiscard]] std::string encodeFrame(const wire::peer::Frame &frame);

/// \brief Decodes a frame received from the network. Never throws.
///
/// Returns an error for input that is not CBOR, is nested too deeply, or does not match the schema.
[[nodiscard]] Result<wire::peer::Frame> decodeFrame(const std::string &bytes);

/// \brief Makes the hello of incarnation \p self, which accepts connections at \p address.
[[nodiscard]] wire::peer::Hello makeHello(const HostIncarnation &self, const std::string &address);

/// \brief The incarnation identified by \p hello.
[[nodiscard]] HostIncarnation asIncarnation(const wire::peer::Hello &hello);

} // namespace anvilmill::daemon
