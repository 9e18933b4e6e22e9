#include "status.h"

#include "commandline.h"
#include "options.h"
#include "submit.h"

#include <hoststatus.h>

#include <Poco/Exception.h>

#include <iomanip>
#include <iostream>

namespace anvilmill::tools {

namespace {

using HostStatus = wire::hoststatus::HostStatus;

void printHeader()
{
    std::cout << std::left << std::setw(24) << "entry host" << std::setw(10) << "ready"
              << std::right << std::setw(8) << "jobs" << std::setw(10) << "queued" << std::setw(10)
              << "running" << std::setw(12) << "remembered" << std::setw(8) << "epoch"
              << std::setw(10) << "revision"
              << "\n";
}

std::string numberOr(const std::optional<std::int64_t> &value, const char *fallback)
{
    return value ? std::to_string(*value) : fallback;
}

void printRow(const HostStatus &status)
{
    std::cout << std::left << std::setw(24) << status.dataCentre + "/" + status.host
              << std::setw(10) << (status.ready ? "yes" : "stopping") << std::right << std::setw(8)
              << status.jobsOpen << std::setw(10) << status.tasksQueued << std::setw(10)
              << status.tasksInFlight << std::setw(12) << status.submissionsRemembered
              << std::setw(8) << numberOr(status.epoch, "-") << std::setw(10)
              << numberOr(status.revision, "-") << "\n";
}

bool printHost(const std::string &address, bool isJson)
{
    try {
        const HttpAnswer answer = callEntryHost(address, "GET", "/v1/status");
        if (isJson)
            std::cout << answer.body << "\n";
        else
            printRow(nlohmann::json::parse(answer.body).get<HostStatus>());
        return true;
    } catch (const std::exception &exception) {
        std::cout << std::left << std::setw(24) << address << "no answer: " << exception.what()
                  << "\n";
        return false;
    }
}

} // namespace

int runStatus(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the state of entry hosts, a line each. Exits with 4 if one does "
                        "not answer.",
                        ' ', "", true);
    const TCLAP::UnlabeledMultiArg<std::string> hosts("host", "Entry hosts as ADDRESS:PORT", true,
                                                      "ADDRESS:PORT", line);
    const TCLAP::SwitchArg json("", "json", "Print JSON objects, a line each", line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    if (!json.isSet())
        printHeader();
    bool areAllReached = true;
    for (const std::string &host : hosts.getValue())
        areAllReached = printHost(host, json.isSet()) && areAllReached;
    return areAllReached ? Success : Unavailable;
}

} // namespace anvilmill::tools
