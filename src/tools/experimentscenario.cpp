#include "experimentscenario.h"

#include <algorithm>

namespace anvilmill::tools {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double SteadyLoad = 0.8;

WorkloadSettings steadySettings()
{
    WorkloadSettings settings;
    settings.phases = {{seconds(35), SteadyLoad}};
    return settings;
}

ExperimentScenario steady()
{
    return {"steady", "80% load, 1% stragglers", steadySettings(), "", std::nullopt};
}

ExperimentScenario burst()
{
    WorkloadSettings settings = steadySettings();
    settings.phases = {{seconds(10), SteadyLoad}, {seconds(2), 2.0}, {seconds(10), SteadyLoad}};
    settings.urgentDeadline = seconds(5);
    settings.deadline = seconds(10);
    return {"crest", "twice the capacity for 2 s", settings, "", std::nullopt};
}

ExperimentScenario shortBehindLong()
{
    WorkloadSettings settings = steadySettings();
    settings.longJobShare = 0.03;
    WorkloadSettings without = steadySettings();
    without.longJobShare = 0.0;
    return {"short-behind-long", "many more tasks of several seconds, the same load", settings,
            "short work alone", without};
}

ExperimentScenario failing()
{
    WorkloadSettings settings = steadySettings();
    settings.failingExecutorShare = 0.1;
    return {"failing", "one executor in ten fails everything", settings, "", std::nullopt};
}

ExperimentScenario overQuota()
{
    WorkloadSettings within = steadySettings();
    within.phases[0].load = 0.6;
    within.extraTeamLoad = 0.04;
    WorkloadSettings settings = within;
    settings.extraTeamLoad = 0.6;
    return {"over-quota", "one team submits as much as all others together, beyond the capacity",
            settings, "the same team within its quota", within};
}

ExperimentScenario straggler()
{
    WorkloadSettings settings = steadySettings();
    settings.stragglerShare = 0.03;
    return {"straggler", "3% stragglers", settings, "", std::nullopt};
}

ExperimentScenario wrongDeclarations()
{
    WorkloadSettings settings = steadySettings();
    settings.declarationError = 10.0;
    return {"wrong-declarations", "declared run times off tenfold, up or down", settings, "",
            std::nullopt};
}

ExperimentScenario cancelWave()
{
    WorkloadSettings settings = steadySettings();
    settings.phases = {{seconds(10), SteadyLoad}, {seconds(10), SteadyLoad}};
    settings.cancelledShare = 0.5;
    return {"cancel-wave", "half of the jobs of a second are cancelled at once", settings, "",
            std::nullopt};
}

} // namespace

const std::vector<ExperimentScenario> &experimentScenarios()
{
    static const std::vector<ExperimentScenario> all = {
            steady(),    burst(),     shortBehindLong(),   failing(),
            overQuota(), straggler(), wrongDeclarations(), cancelWave()};
    return all;
}

const ExperimentScenario *findScenario(const std::string &name)
{
    const auto &all = experimentScenarios();
    const auto found =
            std::find_if(all.begin(), all.end(),
                         [&](const ExperimentScenario &scenario) { return scenario.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace anvilmill::tools
