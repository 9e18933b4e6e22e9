#pragma once

#include "anvilmill/dispatch/dispatcher.h"
#include "anvilmill/dispatch/teamusage.h"
#include "anvilmill/randomsource.h"
#include "experimentworkload.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Name of a host among its peers.
[[nodiscard]] std::string hostName(std::size_t host);

/// \brief Inputs for the construction of an entry host's dispatcher.
struct HostContext
{
    const Clock &clock;
    RandomSource &random;
    std::size_t host = 0;
    std::size_t hosts = 1;
    const std::vector<ExecutorInfo> &executors;
    const std::vector<TeamQuota> &quotas;
};

/// \brief A named dispatch policy.
struct Policy
{
    std::string name;
    /// True if a single entry host receives all jobs.
    bool isCentral = false;
    std::function<std::unique_ptr<Dispatcher>(const HostContext &)> make;
};

/// \brief Outcome of one job.
struct JobResult
{
    enum class State { Unanswered, Finished, Failed, Refused, Cancelled };

    State state = State::Unanswered;
    Duration response{};
    std::uint64_t messages = 0;
    std::optional<Duration> retryAfter;
};

/// \brief Results of one run of a policy.
struct RunResult
{
    std::vector<JobResult> jobs;
    /// In milliseconds, for each task of a short job that arrived in the measured interval: time
    /// from the arrival until it was sent.
    std::vector<double> shortWaits;
    /// Start messages and replies that belong to finished jobs.
    std::uint64_t usefulMessages = 0;
    /// Messages of refused starts and of failed jobs.
    std::uint64_t wastedMessages = 0;
    /// Messages between entry hosts.
    std::uint64_t peerMessages = 0;
    /// Share of the measured slot time that was busy, weighted by speed.
    double utilisation = 0.0;
    /// Work done in the busiest phase for jobs answered in time, divided by the capacity of that
    /// phase.
    double goodput = 0.0;
};

/// \brief Runs \p policy on \p workload in virtual time.
///
/// Starts and answers have a latency of 0.4 ms each way, messages between entry hosts 1 ms. An
/// executor without a free slot refuses a start.
[[nodiscard]] RunResult simulate(const Workload &workload, const Policy &policy,
                                 std::uint64_t seed);

} // namespace anvilmill::tools
