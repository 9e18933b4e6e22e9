#include "reportcommand.h"

#include "commandline.h"
#include "options.h"
#include "reportfetch.h"
#include "reportformat.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace anvilmill::tools {

namespace {

/// Writes \p text to \p path, or to standard output for `-`; does nothing if \p path is empty.
bool writeTo(const std::string &path, const std::string &text)
{
    if (path.empty())
        return true;
    if (path == "-") {
        std::cout << text;
        return true;
    }
    std::ofstream file(path, std::ios::trunc);
    file << text;
    file.flush();
    if (!file)
        std::cerr << "anvilmill report: " << path << ": can't be written\n";
    return bool(file);
}

} // namespace

int runReport(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Reports the service-level burn over all entry hosts.");
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "time to wait for an entry host", false, 2000,
                                 "milliseconds", line);
    TCLAP::ValueArg<std::string> json("", "json", "write the report as JSON; - for standard output",
                                      false, "", "file", line);
    TCLAP::ValueArg<std::string> html("", "html", "write the report as an HTML page", false, "",
                                      "file", line);
    TCLAP::UnlabeledMultiArg<std::string> hosts("entry", "addresses of entry hosts", true,
                                                "host:port", line);
    if (const std::optional<int> code = parseOptions(line, arguments))
        return *code;
    if (timeout.getValue() < 1) {
        std::cerr << "anvilmill report: --timeout-ms must be positive\n";
        return UsageError;
    }
    const std::vector<HostReply> replies =
            fetchObjectives(hosts.getValue(), std::chrono::milliseconds(timeout.getValue()));
    const BurnReport report = makeBurnReport(replies, SystemClock().wallNow());
    if (json.getValue() != "-")
        std::cout << asText(report);
    const bool isWritten = writeTo(json.getValue(), nlohmann::json(report).dump(2) + "\n")
                           && writeTo(html.getValue(), asHtml(report));
    if (!isWritten)
        return Failure;
    const bool isReached = std::any_of(replies.begin(), replies.end(), [](const HostReply &reply) {
        return reply.objectives.hasValue();
    });
    return isReached ? Success : Unavailable;
}

} // namespace anvilmill::tools
