#pragma once

#include "fakehost.h"
#include "simulation.h"
#include "submissionhistory.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::testing {

/// \brief Simulates two data centres of entry hosts, with their executors, callers and platform.
class Cluster
{
public:
    Cluster(std::uint64_t seed, std::set<Fault> faults, Variant variant);
    ~Cluster();

    /// \brief Submits \p submissions jobs while the faults are injected.
    void run(std::size_t submissions);

    [[nodiscard]] const SubmissionHistory &history() const { return m_history; }
    [[nodiscard]] std::uint64_t uncertainClaims() const;

    /// \brief Settings of Admission on each host.
    [[nodiscard]] static AdmissionSettings settings();

private:
    friend class FakeHost;

    struct Submission
    {
        Attempt attempt;
        int sends = 0;
        bool isAnswered = false;
    };

    [[nodiscard]] bool has(Fault fault) const { return m_faults.count(fault) > 0; }
    FakeHost &addHost(const std::string &dataCentre, std::uint64_t incarnation);
    [[nodiscard]] FakeHost *find(const HostIncarnation &host);
    [[nodiscard]] FakeHost *anyHost();
    [[nodiscard]] bool areConnected(const FakeHost &first, const FakeHost &second) const;
    /// Runs \p event on \p host after \p delay: once it resumes if it is paused, never if it was
    /// killed.
    void onHost(FakeHost &host, Duration delay, std::function<void()> event);
    [[nodiscard]] Duration networkDelay();

    void checkLeases();
    void publishView(const std::string &dataCentre);
    void pause(FakeHost &host, Duration length);
    void resume(FakeHost &host);
    void kill(FakeHost &host);
    void scheduleFaults();

    [[nodiscard]] std::string newKey();
    void sendAttempt(const std::shared_ptr<Submission> &submission);
    void answered(const std::shared_ptr<Submission> &submission, const Attempt &attempt,
                  const HostAnswer &answer);

    void recordStart(const Attempt &attempt, std::uint32_t task);

    Simulation m_simulation;
    std::set<Fault> m_faults;
    Variant m_variant;
    SubmissionHistory m_history;
    std::vector<std::unique_ptr<FakeHost>> m_hosts;
    std::map<std::string, View> m_views;
    std::set<std::string> m_disconnectedDataCentres;
    std::uint64_t m_nextKey = 0;
    std::uint64_t m_nextHost = 0;
};

} // namespace anvilmill::testing
