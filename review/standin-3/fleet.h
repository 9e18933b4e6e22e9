#pragma once

#include "executor.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

struct Host
{
    std::string name;
    std::string address;
    pid_t process = 0;
};

struct Submission
{
    std::string id;
    int tasks = 1;
    std::int64_t workMs = 200;
    std::int64_t cpu = 14000;
    std::int64_t deadlineMs = 1500;
    int retries = 1;
    /// After so long the client closes its connection, and sends the job again after `resend_ms`.
    std::int64_t resetAfterMs = 0;
};

/// \brief A small deployment on loopback addresses: store, executors, clients and entry hosts, which
/// are processes of `target/anvilmill machine`.
class Fleet
{
public:
    struct Settings
    {
        std::string program;
        std::string folder;
        std::string recordPath;
        /// Third number of all addresses, so that cases don't share any.
        int network = 0;
        int hosts = 4;
        int zones = 2;
        int executors = 16;
        std::int64_t executorCpu = 32000;
        /// `limits.cpu_share` of the hosts, in turn.
        std::vector<double> cpuShares = {0.25};
    };

    explicit Fleet(Settings settings);

    /// Ends the hosts, and this process with \p status.
    [[noreturn]] void end(int status);

    /// Starts everything and waits until all hosts are ready. False if they don't get ready.
    bool start();

    /// Sends a job from its first try to its last answer; tries go to different hosts.
    Reply submit(const Submission &job, std::size_t firstHost);

    /// Runs \p clients clients that submit jobs like \p job one after the other until stopLoad(), to
    /// the hosts from number \p firstHost on.
    void startLoad(int clients, const Submission &job, std::size_t firstHost = 0);
    void stopLoad();

    void startHost(std::size_t host);
    void signalHost(std::size_t host, int signal);

    std::string newId();

    Record &record() { return m_record; }
    Runs &runs() { return m_runs; }
    Store &store() { return m_store; }
    Executor &executor(std::size_t number) { return *m_executors.at(number); }
    std::size_t executors() const { return m_executors.size(); }
    const Host &host(std::size_t number) const { return m_hosts.at(number); }

    std::int64_t accepted() const { return m_accepted; }
    std::int64_t rejected() const { return m_rejected; }

private:
    /// Starts the store and the executors. Throws if an address is in use.
    void startPlatform();

    std::string addressOf(int number) const;

    Settings m_settings;
    Record m_record;
    Runs m_runs;
    Store m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<Host> m_hosts;
    std::atomic<bool> m_isLoaded{false};
    std::atomic<int> m_clients{0};
    std::atomic<std::int64_t> m_accepted{0};
    std::atomic<std::int64_t> m_rejected{0};
    std::mutex m_randomMutex;
    std::mt19937_64 m_random{1};
};

/// Sleeps for \p milliseconds.
void pause(std::int64_t milliseconds);

/// True unless the environment says TROUBLE=0.
bool hasTrouble();

} // namespace review
