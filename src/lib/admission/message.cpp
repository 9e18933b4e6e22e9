#include "anvilmill/admission/message.h"

#include "anvilmill/documentsize.h"

#include <optional>
#include <string_view>
#include <utility>

namespace anvilmill {

namespace {

namespace messages = wire::admission;

struct Wrapper
{
    messages::Envelope &envelope;

    void operator()(const messages::ClaimRequest &body) const { envelope.claimRequest = body; }
    void operator()(const messages::ClaimReply &body) const { envelope.claimReply = body; }
    void operator()(const messages::CopyRequest &body) const { envelope.copyRequest = body; }
    void operator()(const messages::CopyReply &body) const { envelope.copyReply = body; }
    void operator()(const messages::Handover &body) const { envelope.handover = body; }
    void operator()(const messages::HandoverReply &body) const { envelope.handoverReply = body; }
    void operator()(const messages::HandoverDone &body) const { envelope.handoverDone = body; }
};

/// Moves \p part into \p message if it is present. Returns whether it was.
template <typename Part>
bool moveIntoBody(std::optional<Part> &part, AdmissionMessage &message)
{
    if (!part)
        return false;
    message.body = std::move(*part);
    return true;
}

} // namespace

std::vector<std::uint8_t> AdmissionMessage::encoded() const
{
    messages::Envelope envelope;
    std::visit(Wrapper{envelope}, body);
    return nlohmann::json::to_cbor(nlohmann::json(envelope));
}

Result<AdmissionMessage> AdmissionMessage::decode(const std::vector<std::uint8_t> &bytes)
{
    const std::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    const auto error = documentError(text, nlohmann::json::input_format_t::cbor, DocumentLimits());
    if (error)
        return Error{*error, {}};
    try {
        auto envelope = nlohmann::json::from_cbor(bytes).get<messages::Envelope>();
        AdmissionMessage message;
        const bool isKnown = moveIntoBody(envelope.claimRequest, message)
                             || moveIntoBody(envelope.claimReply, message)
                             || moveIntoBody(envelope.copyRequest, message)
                             || moveIntoBody(envelope.copyReply, message)
                             || moveIntoBody(envelope.handover, message)
                             || moveIntoBody(envelope.handoverReply, message)
                             || moveIntoBody(envelope.handoverDone, message);
        if (!isKnown)
            return Error{"the admission message has no known body", {}};
        return message;
    } catch (const nlohmann::json::exception &exception) {
        return Error{exception.what(), {}};
    } catch (const std::runtime_error &exception) {
        return Error{exception.what(), {}};
    }
}

} // namespace anvilmill
