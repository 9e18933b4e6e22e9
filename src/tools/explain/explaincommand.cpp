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

/// Returns \p paths, or standard input if there are none.
std::vector<std::string> logsOf(std::vector<std::string> paths)
{
    if (paths.empty())
        paths.emplace_back("-");
    return paths;
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Explains from hosts' logs how a job ended, or sums up all failed jobs.");
    TCLAP::SwitchArg failures("", "failures", "sum up all jobs that were not completed", line);
    TCLAP::UnlabeledMultiArg<std::string> names(
            "name",
            "the job (omitted with --failures), followed by the logs: files, also gzip-compressed "
            "ones, folders, or - for standard input",
            false, "JOB|LOG", line);
    if (const std::optional<int> code = parseOptions(line, arguments))
        return *code;
    std::vector<std::string> paths = names.getValue();
    std::string job;
    if (!failures.getValue()) {
        if (paths.empty())
            return fail("expected a job or --failures");
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
