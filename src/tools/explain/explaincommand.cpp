#include "explain/explaincommand.h"

#include "commandline.h"
#include "explain/explanation.h"
#include "options.h"

#include <iostream>

namespace anvilmill::tools {

namespace {

int fail(const std::string &reason)
{
    std::cerr << "anvilmill explain: " << reason << "\n";
    return UsageError;
}

/// Without any, the logs come on standard input.
std::vector<std::string> logsOf(std::vector<std::string> paths)
{
    if (paths.empty())
        paths.emplace_back("-");
    return paths;
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Tells from hosts' logs what became of a job, or of all that failed.");
    TCLAP::SwitchArg failures("", "failures", "sum up all jobs that were not completed", line);
    TCLAP::UnlabeledMultiArg<std::string> names(
            "name",
            "the job, unless --failures is given, then logs: files, compressed by gzip too, "
            "folders, or - for standard input",
            false, "JOB|LOG", line);
    if (const std::optional<int> code = parseOptions(line, arguments))
        return *code;
    std::vector<std::string> paths = names.getValue();
    std::string job;
    if (!failures.getValue()) {
        if (paths.empty())
            return fail("name a job, or give --failures");
        job = paths.front();
        paths.erase(paths.begin());
    }
    const Result<LogSources> logs = LogSources::open(logsOf(std::move(paths)));
    if (!logs)
        return fail(logs.error().reason);
    if (failures.getValue()) {
        std::cout << asText(summarizeFailures(*logs));
        return Success;
    }
    const JobExplanation explanation = explainJob(*logs, job);
    std::cout << asText(explanation);
    return explanation.job.empty() ? Failure : Success;
}

} // namespace anvilmill::tools
