#include "subcommand.h"

#include "demo.h"
#include "experiment.h"
#include "explain/explaincommand.h"
#include "historycommand.h"
#include "loadcommand.h"
#include "machinecommand.h"
#include "platformstandincommand.h"
#include "reportcommand.h"
#include "serve.h"
#include "sheet.h"
#include "sheetapply.h"
#include "status.h"
#include "submit.h"

namespace anvilmill::tools {

const std::vector<Subcommand> &subcommands()
{
    static const std::vector<Subcommand> all = {
            {"serve", "run one entry host", runServe},
            {"machine", "run one entry host on the fleet's machines", runMachine},
            {"demo", "run a job through a whole system in one process", runDemo},
            {"submit", "submit one job and print its answer", runSubmit},
            {"status", "print the state of entry hosts", runStatus},
            {"executor", "run one stand-in executor", runExecutor},
            {"platform-standin", "serve the platform's interface from memory", runPlatformStandIn},
            {"sheet", "check and compare operators' sheets", runSheet},
            {"drain", "plan the stop of one host, at once", runDrain},
            {"report", "report the service-level burn over all entry hosts", runReport},
            {"explain", "explain from logs how a job ended, or sum up all failed jobs", runExplain},
            {"load", "send a seeded schedule of jobs and measure the answers", runLoadCommand},
            {"check-history", "check recorded events against the service's guarantees",
             runCheckHistory},
            {"experiment", "compare dispatch policies in virtual time", runExperiment},
    };
    return all;
}

} // namespace anvilmill::tools
