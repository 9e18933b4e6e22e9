#pragma once

#include "anvilmill/result.h"
#include "configuration.h"

#include <string>
#include <string_view>

namespace anvilmill {

/// \brief A message about configuration between entry hosts; exactly one part is present.
using ConfigurationMessage = wire::configuration::Configuration;

/// \brief Encodes \p message as CBOR.
[[nodiscard]] std::string encode(const ConfigurationMessage &message);

/// \brief Decodes the CBOR message in \p bytes; an error if it is malformed. Never throws.
[[nodiscard]] Result<ConfigurationMessage> decodeConfigurationMessage(std::string_view bytes);

} // namespace anvilmill
