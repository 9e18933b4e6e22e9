#include "experiment.h"

#include "commandline.h"
#include "experimentplot.h"
#include "experimentpolicies.h"
#include "experimentreference.h"
#include "experimentreport.h"
#include "experimentscenario.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace anvilmill::tools {

namespace {

constexpr const char *All = "all";
constexpr int MaxSeeds = 100;
constexpr int MaxHosts = 16;
constexpr int MaxExecutors = 500;

struct Options
{
    std::string scenario;
    std::string policy;
    std::string plot;
    int seeds = 3;
    int hosts = 2;
    int executors = 50;
};

bool isInRange(int value, int min, int max, const char *flag)
{
    if (value >= min && value <= max)
        return true;
    std::cerr << "anvilmill experiment: --" << flag << " must be " << min << " to " << max << "\n";
    return false;
}

bool isValid(const Options &options)
{
    const auto &policies = experimentPolicies();
    const bool isPolicy = options.policy == All
                          || std::any_of(policies.begin(), policies.end(), [&](const auto &policy) {
                                 return policy.name == options.policy;
                             });
    const bool isScenario = options.scenario == All || findScenario(options.scenario);
    if (!isPolicy)
        std::cerr << "anvilmill experiment: unknown policy '" << options.policy << "'\n";
    if (!isScenario)
        std::cerr << "anvilmill experiment: unknown scenario '" << options.scenario << "'\n";
    return isPolicy && isScenario && isInRange(options.seeds, 1, MaxSeeds, "seeds")
           && isInRange(options.hosts, 1, MaxHosts, "hosts")
           && isInRange(options.executors, 1, MaxExecutors, "executors");
}

std::string scenarioAndPolicyNames()
{
    std::string names = "Scenarios:";
    for (const ExperimentScenario &scenario : experimentScenarios())
        names += " " + scenario.name + " (" + scenario.summary + ");";
    names += " policies:";
    for (const Policy &policy : experimentPolicies())
        names += " " + policy.name;
    return names;
}

/// Fills \p options; returns an exit code if the process should exit at once.
std::optional<int> parse(const std::vector<std::string> &arguments, Options &options)
{
    TCLAP::CmdLine line("Compares dispatch policies in virtual time. " + scenarioAndPolicyNames(),
                        ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> scenario("", "scenario", "Scenario, or all", false, All, "name",
                                          line);
    TCLAP::ValueArg<std::string> policy("", "policy", "Policy, or all", false, All, "name", line);
    TCLAP::ValueArg<std::string> plot("", "plot", "Folder for an SVG plot of each scenario", false,
                                      "", "folder", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "Number of seeds", false, 3, "count", line);
    TCLAP::ValueArg<int> hosts("", "hosts", "Entry hosts", false, 2, "count", line);
    TCLAP::ValueArg<int> executors("", "executors", "Executors", false, 50, "count", line);
    std::vector<std::string> copy = arguments;
    try {
        line.parse(copy);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "anvilmill experiment: " << error.error() << " " << error.argId() << "\n";
        return UsageError;
    } catch (const TCLAP::ExitException &) {
        return Success;
    }
    options = {scenario.getValue(), policy.getValue(), plot.getValue(),
               seeds.getValue(),    hosts.getValue(),  executors.getValue()};
    if (!isValid(options))
        return UsageError;
    return std::nullopt;
}

std::vector<double> responsesOf(const Workload &workload, const std::vector<Duration> &responses)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < responses.size(); ++i)
        if (workload.isMeasured(workload.jobs[i]))
            values.push_back(std::chrono::duration<double, std::milli>(responses[i]).count());
    return values;
}

std::vector<double> responsesOf(const Workload &workload, const RunResult &run)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < run.jobs.size(); ++i)
        if (workload.isMeasured(workload.jobs[i])
            && run.jobs[i].state == JobResult::State::Finished)
            values.push_back(
                    std::chrono::duration<double, std::milli>(run.jobs[i].response).count());
    return values;
}

/// Runs one scenario with all seeds and the selected policies.
class ScenarioRun
{
public:
    ScenarioRun(const ExperimentScenario &scenario, const WorkloadSettings &settings,
                const Options &options)
        : m_scenario(scenario)
        , m_options(options)
        , m_settings(settings)
    {
        m_settings.hosts = static_cast<std::size_t>(options.hosts);
        m_settings.executors = static_cast<std::size_t>(options.executors);
        for (const Policy &policy : experimentPolicies())
            if (options.policy == All || options.policy == policy.name)
                m_policies.push_back(policy);
    }

    void run()
    {
        for (const Policy &policy : m_policies)
            m_figures.emplace_back(policy.name, std::vector<Figures>());
        for (int seed = 1; seed <= m_options.seeds; ++seed)
            runSeed(static_cast<std::uint64_t>(seed));
    }

    void print() const
    {
        printFigures(std::cout, m_scenario.name, m_figures);
        printBounds();
    }

    [[nodiscard]] const std::vector<PolicyFigures> &figures() const { return m_figures; }

    [[nodiscard]] bool writePlot() const
    {
        const std::string path = m_options.plot + "/" + m_scenario.name + ".svg";
        std::ofstream file(path);
        file << quantilePlot(m_scenario.name + ": " + m_scenario.summary, m_series);
        file.close();
        if (file)
            return true;
        std::cerr << "anvilmill experiment: cannot write " << path << "\n";
        return false;
    }

private:
    void runSeed(std::uint64_t seed)
    {
        const Workload workload = makeWorkload(m_settings, seed);
        std::cerr << m_scenario.name << " seed " << seed << ": " << workload.jobs.size() << " jobs"
                  << std::flush;
        const std::vector<Duration> reference = referenceResponses(workload);
        const std::vector<Duration> bounds = lowerBounds(workload);
        recordBounds(responsesOf(workload, reference), responsesOf(workload, bounds));
        recordUrgentInTime(workload, reference);
        addSeries("reference", responsesOf(workload, reference), seed);
        for (std::size_t i = 0; i < m_policies.size(); ++i) {
            const RunResult result = simulate(workload, m_policies[i], seed);
            m_figures[i].second.push_back(figuresOf(workload, result, reference));
            addSeries(m_policies[i].name, responsesOf(workload, result), seed);
            std::cerr << "." << std::flush;
        }
        std::cerr << "\n";
    }

    /// Adds a plot series; only the first seed is plotted.
    void addSeries(const std::string &name, std::vector<double> values, std::uint64_t seed)
    {
        if (seed == 1)
            m_series.push_back({name, std::move(values)});
    }

    /// Records the share of urgent jobs that the reference answers within their deadline.
    void recordUrgentInTime(const Workload &workload, const std::vector<Duration> &reference)
    {
        double urgent = 0.0;
        double inTime = 0.0;
        for (std::size_t i = 0; i < reference.size(); ++i) {
            const SimulatedJob &job = workload.jobs[i];
            if (!workload.isMeasured(job) || !job.isUrgent)
                continue;
            urgent += 1.0;
            inTime += !job.deadline || reference[i] <= *job.deadline ? 1.0 : 0.0;
        }
        m_urgentInTime.push_back(inTime / std::max(1.0, urgent));
    }

    void recordBounds(const std::vector<double> &reference, const std::vector<double> &bounds)
    {
        m_overBoundP50.push_back(quantileOf(reference, 0.5) / quantileOf(bounds, 0.5));
        m_overBoundP99.push_back(quantileOf(reference, 0.99) / quantileOf(bounds, 0.99));
        m_referenceP50.push_back(quantileOf(reference, 0.5));
        m_referenceP99.push_back(quantileOf(reference, 0.99));
    }

    void printBounds() const
    {
        std::cout << "reference: p50 " << quantileOf(m_referenceP50, 0.5) << " ms, p99 "
                  << quantileOf(m_referenceP99, 0.5) << " ms; over each job's lower bound: p50 "
                  << quantileOf(m_overBoundP50, 0.5) << ", p99 " << quantileOf(m_overBoundP99, 0.5)
                  << "; urgent in time " << quantileOf(m_urgentInTime, 0.5) << std::endl;
    }

    const ExperimentScenario &m_scenario;
    const Options &m_options;
    WorkloadSettings m_settings;
    std::vector<Policy> m_policies;
    std::vector<PolicyFigures> m_figures;
    std::vector<PlotSeries> m_series;
    std::vector<double> m_overBoundP50;
    std::vector<double> m_overBoundP99;
    std::vector<double> m_urgentInTime;
    std::vector<double> m_referenceP50;
    std::vector<double> m_referenceP99;
};

} // namespace

int runExperiment(const std::vector<std::string> &arguments)
{
    Options options;
    if (const auto code = parse(arguments, options))
        return *code;
    for (const ExperimentScenario &scenario : experimentScenarios()) {
        if (options.scenario != All && options.scenario != scenario.name)
            continue;
        ScenarioRun run(scenario, scenario.settings, options);
        run.run();
        run.print();
        if (scenario.baseline) {
            ScenarioRun other(scenario, *scenario.baseline, options);
            other.run();
            printComparison(std::cout, scenario.baselineName, run.figures(), other.figures());
        }
        if (!options.plot.empty() && !run.writePlot())
            return Failure;
    }
    return Success;
}

} // namespace anvilmill::tools
