#include "settingsfile.h"

#include <settingsschema.h>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace anvilmill::daemon {

namespace {

using nlohmann::json;

/// Line numbers of each `section.key` and section, which Poco's parser does not keep.
struct KeyPositions
{
    std::map<std::string, int> lines;
    std::map<std::string, int> sections;
    std::vector<Error> errors;
};

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

void recordPosition(KeyPositions &positions, const std::string &file, const std::string &key,
                    int line)
{
    const auto [known, isNew] = positions.lines.emplace(key, line);
    if (!isNew) {
        const std::string before = std::to_string(known->second);
        positions.errors.push_back(
                {key + ": is set twice, first in line " + before, {file, line, 0}});
    }
}

KeyPositions findKeys(const std::string &text, const std::string &file)
{
    KeyPositions positions;
    std::istringstream in(text);
    std::string section;
    std::string raw;
    for (int line = 1; std::getline(in, raw); ++line) {
        const std::string content = trimmed(raw);
        if (content.empty() || content[0] == ';')
            continue;
        if (content[0] == '[') {
            section = trimmed(content.substr(1, content.find(']') - 1));
            positions.sections.emplace(section, line);
            continue;
        }
        const auto equals = content.find('=');
        if (equals == std::string::npos) {
            positions.errors.push_back(
                    {"expected 'key = value', a section or a ';' comment", {file, line, 0}});
            continue;
        }
        const std::string key = trimmed(content.substr(0, equals));
        recordPosition(positions, file, section.empty() ? key : section + "." + key, line);
    }
    return positions;
}

Result<json> readInteger(const std::string &text, const json &schema)
{
    Poco::Int64 value = 0;
    if (!Poco::NumberParser::tryParse64(text, value))
        return Error{"'" + text + "' is not a whole number", {}};
    const auto minimum = schema.value("minimum", std::numeric_limits<Poco::Int64>::min());
    const auto maximum = schema.value("maximum", std::numeric_limits<Poco::Int64>::max());
    if (value < minimum || value > maximum)
        return Error{text + " is outside " + std::to_string(minimum) + " to "
                             + std::to_string(maximum),
                     {}};
    return json(value);
}

Result<json> readList(const std::string &text, const json &)
{
    const Poco::StringTokenizer items(
            text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return json(std::vector<std::string>(items.begin(), items.end()));
}

Result<json> readString(const std::string &text, const json &schema)
{
    if (!schema.contains("enum"))
        return text.empty() ? Result<json>(Error{"must not be empty", {}}) : json(text);
    for (const json &choice : schema["enum"]) {
        if (choice == text)
            return json(text);
    }
    return Error{"'" + text + "' is not one of " + schema["enum"].dump(), {}};
}

struct TypeReader
{
    const char *type;
    Result<json> (*read)(const std::string &text, const json &schema);
};

constexpr TypeReader TypeReaders[] = {
        {"integer", &readInteger},
        {"array", &readList},
        {"string", &readString},
};

Result<json> readValue(const std::string &text, const json &schema)
{
    for (const TypeReader &reader : TypeReaders) {
        if (schema.at("type") == reader.type)
            return reader.read(text, schema);
    }
    return Error{"has a type that settings do not support", {}};
}

const json &schemaDocument()
{
    static const json document = json::parse(wire::settings::SchemaText);
    return document;
}

/// The schemas of the sections, by section name.
std::map<std::string, json> sectionSchemas()
{
    std::map<std::string, json> sections;
    const json &definitions = schemaDocument().at("definitions");
    for (const auto &[name, reference] : definitions.at("Settings").at("properties").items()) {
        const std::string path = reference.at("$ref").get<std::string>();
        sections[name] = definitions.at(path.substr(path.rfind('/') + 1));
    }
    return sections;
}

class Reader
{
public:
    Reader(const std::string &text, std::string file)
        : m_file(std::move(file))
        , m_positions(findKeys(text, m_file))
        , m_errors(m_positions.errors)
    {
        std::istringstream in(text);
        try {
            m_values = new Poco::Util::IniFileConfiguration(in);
        } catch (const Poco::Exception &exception) {
            m_errors.push_back({exception.displayText(), {m_file, 0, 0}});
        }
    }

    SettingsReport read()
    {
        const auto sections = sectionSchemas();
        json document = json::object();
        for (const auto &[name, schema] : sections)
            document[name] = readSection(name, schema);
        reportUnknown(sections);
        if (m_errors.empty())
            checkConsistency(document);
        SettingsReport report;
        report.errors = std::move(m_errors);
        if (report.errors.empty())
            report.settings = document.get<Settings>();
        return report;
    }

private:
    json readSection(const std::string &section, const json &schema)
    {
        json values = json::object();
        for (const auto &[name, property] : schema.at("properties").items()) {
            const std::string key = section + "." + name;
            if (m_positions.lines.count(key) == 0) {
                if (property.contains("default"))
                    values[name] = property["default"];
                else
                    fail(key, "is required");
                continue;
            }
            const auto value = readValue(trimmed(m_values->getRawString(key, "")), property);
            if (value)
                values[name] = *value;
            else
                fail(key, value.error().reason);
        }
        return values;
    }

    void reportUnknown(const std::map<std::string, json> &sections)
    {
        for (const auto &[section, line] : m_positions.sections) {
            if (sections.count(section) == 0)
                m_errors.push_back({"[" + section + "]: unknown section", {m_file, line, 0}});
        }
        for (const auto &[key, line] : m_positions.lines) {
            const auto dot = key.find('.');
            const auto section = sections.find(key.substr(0, dot));
            if (section == sections.end() && dot != std::string::npos)
                continue;
            const bool isKnown = dot != std::string::npos
                                 && section->second.at("properties").contains(key.substr(dot + 1));
            if (!isKnown)
                fail(key, "unknown key");
        }
    }

    void checkConsistency(const json &document)
    {
        const json &backend = document.at("backend");
        if (backend.at("slots") > backend.at("connections"))
            fail("backend.slots", "is larger than backend.connections");
        if (backend.at("silenceMs") > backend.at("giveUpMs"))
            fail("backend.silenceMs", "is larger than backend.giveUpMs");
        const json &all = document.at("host").at("dataCentres");
        const json &own = document.at("host").at("dataCentre");
        if (!all.empty() && std::find(all.begin(), all.end(), own) == all.end())
            fail("host.dataCentres", "does not list host.dataCentre");
    }

    void fail(const std::string &key, const std::string &reason)
    {
        const auto found = m_positions.lines.find(key);
        const int line = found == m_positions.lines.end() ? 0 : found->second;
        m_errors.push_back({key + ": " + reason, {m_file, line, 0}});
    }

    std::string m_file;
    KeyPositions m_positions;
    std::vector<Error> m_errors;
    Poco::AutoPtr<Poco::Util::IniFileConfiguration> m_values;
};

std::string formatDefault(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.is_array() && value.empty() ? "none" : value.dump();
}

std::string pageRow(const std::string &name, const json &property)
{
    std::string type = property.at("type");
    if (property.contains("enum"))
        type = property["enum"].dump();
    if (property.contains("minimum"))
        type += " " + property["minimum"].dump() + " to " + property["maximum"].dump();
    return "| `" + name + "` | " + type + " | " + property.value("x-unit", "") + " | "
           + (property.contains("default") ? formatDefault(property["default"]) : "required")
           + " | " + property.at("description").get<std::string>() + " |\n";
}

} // namespace

SettingsReport parseSettings(const std::string &text, const std::string &file)
{
    return Reader(text, file).read();
}

SettingsReport readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return {std::nullopt, {{"cannot be read", {file, 0, 0}}}};
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

std::string settingsPage()
{
    std::string page = "# Settings\n\nAn entry host reads one INI file. Comments start with `;`. "
                       "Lists are separated by commas.\n"
                       "`anvilmill serve --settings FILE --check-settings` reports every error at "
                       "once as `file:line: key: reason`.\n"
                       "This page is printed by `anvilmill serve --print-settings-page`.\n";
    for (const auto &[section, schema] : sectionSchemas()) {
        page += "\n## [" + section + "]\n\n" + schema.at("description").get<std::string>()
                + "\n\n| key | type and range | unit | default | meaning |\n"
                  "| --- | --- | --- | --- | --- |\n";
        for (const auto &[name, property] : schema.at("properties").items())
            page += pageRow(name, property);
    }
    return page;
}

} // namespace anvilmill::daemon
