#include "experimentpolicies.h"

#include "anvilmill/dispatch/adaptivedispatcher.h"
#include "anvilmill/dispatch/baselinedispatcher.h"
#include "anvilmill/dispatch/coordinatordispatcher.h"

namespace anvilmill::tools {

namespace {

std::unique_ptr<Dispatcher> makeBaseline(BaselineChoice choice, const HostContext &context)
{
    auto dispatcher = makeBaselineDispatcher(choice, context.clock, context.random);
    dispatcher->setExecutors(context.executors);
    return dispatcher;
}

std::unique_ptr<Dispatcher> makeRandom(const HostContext &context)
{
    return makeBaseline(BaselineChoice::Random, context);
}

std::unique_ptr<Dispatcher> makeRoundRobin(const HostContext &context)
{
    return makeBaseline(BaselineChoice::RoundRobin, context);
}

std::unique_ptr<Dispatcher> makeLeastInFlight(const HostContext &context)
{
    return makeBaseline(BaselineChoice::LeastInFlight, context);
}

std::vector<ExecutorInfo> shareOf(const HostContext &context)
{
    std::vector<ExecutorInfo> executors = context.executors;
    for (ExecutorInfo &executor : executors) {
        const int hosts = static_cast<int>(context.hosts);
        executor.slots = std::max(1, executor.slots / hosts);
    }
    return executors;
}

/// FIFO dispatch with an equal share of each executor's slots for each host.
std::unique_ptr<Dispatcher> makeStaticShare(const HostContext &context)
{
    auto dispatcher = makeFifoDispatcher();
    dispatcher->setExecutors(shareOf(context));
    return dispatcher;
}

DispatchSettings settingsOf(const HostContext &context)
{
    DispatchSettings settings;
    settings.quotas = context.quotas;
    return settings;
}

std::unique_ptr<Dispatcher> makeAdaptive(const HostContext &context)
{
    auto dispatcher = makeAdaptiveDispatcher(context.clock, context.random, settingsOf(context));
    dispatcher->setExecutors(context.executors);
    return dispatcher;
}

/// Adaptive dispatch with an equal share of each executor's slots for each host.
std::unique_ptr<Dispatcher> makeAdaptiveShare(const HostContext &context)
{
    auto dispatcher = makeAdaptiveDispatcher(context.clock, context.random, settingsOf(context));
    dispatcher->setExecutors(shareOf(context));
    return dispatcher;
}

std::unique_ptr<Dispatcher> makeDaemonPolicy(const HostContext &context)
{
    CoordinatorSettings settings;
    settings.dispatch = settingsOf(context);
    auto dispatcher = makeCoordinatorDispatcher(context.clock, context.random, settings,
                                                hostName(context.host));
    std::vector<std::string> members;
    for (std::size_t host = 0; host < context.hosts; ++host)
        members.push_back(hostName(host));
    dispatcher->setExecutors(context.executors);
    dispatcher->setMembers(1, members);
    return dispatcher;
}

} // namespace

const std::vector<Policy> &experimentPolicies()
{
    static const std::vector<Policy> all = {
            {"random", false, makeRandom},
            {"round-robin", false, makeRoundRobin},
            {"least-in-flight", false, makeLeastInFlight},
            {"first-come-halves", false, makeStaticShare},
            {"first-come-central", true, makeLeastInFlight},
            {"adaptive-central", true, makeAdaptive},
            {"adaptive-halves", false, makeAdaptiveShare},
            {"adaptive-optimistic", false, makeAdaptive},
            {ProductPolicy, false, makeDaemonPolicy},
    };
    return all;
}

} // namespace anvilmill::tools
