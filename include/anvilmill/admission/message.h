#pragma once

#include "anvilmill/result.h"

#include <admission.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace anvilmill {

/// \brief Any message between the Admission objects of two entry hosts.
struct AdmissionMessage
{
    using Body = std::variant<wire::admission::ClaimRequest, wire::admission::ClaimReply,
                              wire::admission::CopyRequest, wire::admission::CopyReply,
                              wire::admission::Handover, wire::admission::HandoverReply,
                              wire::admission::HandoverDone>;

    Body body;

    /// \brief Encodes the message and its type as CBOR.
    [[nodiscard]] std::vector<std::uint8_t> encoded() const;

    /// \brief Decodes \p bytes; returns an error if they are no valid message. Throws no
    /// exceptions.
    [[nodiscard]] static Result<AdmissionMessage> decode(const std::vector<std::uint8_t> &bytes);
};

} // namespace anvilmill
