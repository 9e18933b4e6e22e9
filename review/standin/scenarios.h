#pragma once

#include "clients.h"
#include "executors.h"

#include "anvilmill/randomsource.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

struct Options
{
    std::string scenario;
    /// The first three numbers of all addresses.
    std::string network;
    std::string record;
    int hosts = 0;
    int zones = 0;
    int executors = 0;
    std::uint64_t seed = 1;
    bool isDisrupted = true;
    /// Folder of the entry hosts' logs and process ids.
    std::string logFolder;

    [[nodiscard]] pid_t processOf(std::size_t host) const
    {
        std::ifstream file(logFolder + "/host" + std::to_string(host) + ".pid");
        pid_t id = 0;
        if (!(file >> id))
            throw std::runtime_error("no process id of host " + std::to_string(host));
        return id;
    }
};

/// \brief Records the starts and ends of runs and checks the rules on them.
class Observer final : public RunObserver
{
public:
    Observer(Record &record, const Clock &clock)
        : m_record(record)
        , m_clock(clock)
    {
    }

    void began(const Run &run) override;
    void ended(const Run &run, const std::string &how) override;

    /// \brief The cancelling of the job was acknowledged now.
    void cancelled(const std::string &job);

    /// \brief A frozen host goes on now.
    void thawed() { m_thawed = m_clock.now(); }

    /// \brief Counts a task that runs twice only if its second run starts within \p window after a
    /// frozen host has gone on; the others are recorded.
    void countAfterThawOnly(Duration window) { m_window = window; }

    [[nodiscard]] std::size_t startsOf(const std::string &job) const;
    [[nodiscard]] std::size_t violations() const { return m_violations; }

private:
    /// Records runs that are active although the job's cancelling was acknowledged long ago.
    void checkCancelled(const Run &run, Duration allowed, const char *what);
    void violated(const std::string &text);

    Record &m_record;
    const Clock &m_clock;
    std::multimap<std::string, Run> m_active;
    std::map<std::string, MonotonicTime> m_cancelled;
    std::map<std::string, std::size_t> m_starts;
    std::size_t m_violations = 0;
    MonotonicTime m_thawed;
    std::optional<Duration> m_window;
};

/// \brief What a scenario works with.
struct Context
{
    boost::asio::io_context &loop;
    anvilmill::daemon::TimerQueue &timers;
    const Clock &clock;
    anvilmill::RandomSource &random;
    Record &record;
    Clients &clients;
    Observer &observer;
    const Options &options;
};

/// \brief One course of events; calls its handler with the exit code.
class Scenario
{
public:
    virtual ~Scenario() = default;
    virtual void run(std::function<void(int)> done) = 0;
};

/// \brief The scenario that the options name; nullptr if there is none.
[[nodiscard]] std::unique_ptr<Scenario> scenarioNamed(const Context &context);

} // namespace review
