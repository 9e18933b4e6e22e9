#pragma once

#include "anvilmill/result.h"

#include <settings.h>

#include <string>
#include <vector>

namespace anvilmill::daemon {

using wire::settings::Settings;

/// \brief Settings read from a file, or all errors found in it.
struct SettingsReport
{
    std::optional<Settings> settings;
    std::vector<Error> errors;
};

/// \brief Reads an INI file and checks it against the settings schema.
///
/// All errors are reported at once: unknown sections and keys, duplicates, missing keys, values
/// of the wrong type or out of range, and settings that contradict each other. Missing keys take
/// their defaults.
[[nodiscard]] SettingsReport readSettings(const std::string &file);

/// \brief Like readSettings(), but parses \p text. \p file is the file name in error messages.
[[nodiscard]] SettingsReport parseSettings(const std::string &text, const std::string &file);

/// \brief Generates the page docs/SETTINGS.md from the schema.
[[nodiscard]] std::string settingsPage();

} // namespace anvilmill::daemon
