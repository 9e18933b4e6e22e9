#include "anvilmill/configuration/configurationmessage.h"

#include "anvilmill/documentsize.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// A whole sheet of 6,300 executors has about 60,000 values.
constexpr DocumentLimits MessageLimits = {48, 400000};

/// Omits absent parts, which halves the size of small messages.
nlohmann::json withoutNulls(const nlohmann::json &full)
{
    nlohmann::json present = nlohmann::json::object();
    for (const auto &[key, value] : full.items()) {
        if (!value.is_null())
            present[key] = value;
    }
    return present;
}

bool isDeltaValid(const wire::configuration::Delta &delta)
{
    return delta.revision > 0 && delta.baseRevision >= 0;
}

/// Checks the bounds given in the schema, which the generated code does not enforce.
bool isValid(const ConfigurationMessage &message)
{
    if (message.summary && message.summary->revision < 0)
        return false;
    if (message.request && message.request->revision < 0)
        return false;
    if (message.whole && message.whole->revision < 0)
        return false;
    return !message.deltas
           || std::all_of(message.deltas->begin(), message.deltas->end(), isDeltaValid);
}

} // namespace

std::string encode(const ConfigurationMessage &message)
{
    std::string bytes;
    nlohmann::json::to_cbor(withoutNulls(message), bytes);
    return bytes;
}

Result<ConfigurationMessage> decodeConfigurationMessage(std::string_view bytes)
{
    if (const auto error =
                documentError(bytes, nlohmann::json::input_format_t::cbor, MessageLimits))
        return Error{"malformed configuration message: " + *error, {}};
    try {
        auto message = nlohmann::json::from_cbor(bytes).get<ConfigurationMessage>();
        if (!isValid(message))
            return Error{"malformed configuration message: a revision is negative", {}};
        return message;
    } catch (const std::exception &error) {
        return Error{std::string("malformed configuration message: ") + error.what(), {}};
    }
}

} // namespace anvilmill
