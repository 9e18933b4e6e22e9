#pragma once

#include "anvilmill/manualclock.h"
#include "anvilmill/membership/membership.h"
#include "platform/standinstate.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::test {

/// \brief A clock with its own rate and its own offset of the wall-clock time.
class SkewedClock final : public Clock
{
public:
    SkewedClock(const Clock &base, double rate, Duration wallOffset)
        : m_base(base)
        , m_rate(rate)
        , m_wallOffset(wallOffset)
    {
    }

    [[nodiscard]] MonotonicTime now() const override
    {
        // Starts well after zero, as a real host's clock does.
        constexpr Duration Uptime = std::chrono::hours(1);
        const Duration elapsed = m_base.now().time_since_epoch();
        return MonotonicTime(Uptime + std::chrono::duration_cast<Duration>(elapsed * m_rate));
    }
    [[nodiscard]] WallTime wallNow() const override { return m_base.wallNow() + m_wallOffset; }

private:
    const Clock &m_base;
    const double m_rate;
    const Duration m_wallOffset;
};

/// \brief Probabilities of faults of the network and the platform.
struct SimulationFaults
{
    double messageLoss = 0;
    double messageDelay = 0;
    double answerLoss = 0;
    double lateEffect = 0;
};

/// \brief Entry hosts with the production membership code, a simulated network and platform, in
/// virtual time.
///
/// All randomness comes from one seed. After every event the hosts that may act as owners are
/// compared: all must hold the same view.
class DataCentreSimulation
{
public:
    explicit DataCentreSimulation(std::uint64_t seed, MembershipOptions options = {});
    ~DataCentreSimulation();

    SimulationFaults faults;
    /// Applied to each message in transit.
    std::function<void(wire::peer::MembershipMessage &)> modifyMessage;
    /// Clock rates are drawn from 1 - maxDrift to 1 + maxDrift.
    double maxDrift = 0.02;
    bool isPlatformDown = false;

    /// \brief Starts a host; the same name again is a new incarnation at the same address.
    void start(const std::string &name, const std::string &dataCentre = "bole");
    void kill(const std::string &name);
    void pause(const std::string &name);
    void resume(const std::string &name);
    void disconnectPlatform(const std::string &name, bool isDisconnected);
    void disconnectPeers(const std::string &one, const std::string &other, bool isDisconnected);
    void healAll();
    void run(Duration time);

    [[nodiscard]] Membership &host(const std::string &name);
    [[nodiscard]] std::vector<std::string> acting() const;
    [[nodiscard]] bool hasConverged() const;
    /// \brief The first pair of hosts that acted under different views; empty if none did.
    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    [[nodiscard]] daemon::StandInState &store() noexcept { return m_store; }
    [[nodiscard]] Duration now() const { return m_clock.now().time_since_epoch(); }
    [[nodiscard]] SeededRandom &random() noexcept { return m_random; }
    [[nodiscard]] std::uint64_t platformCalls() const noexcept { return m_platformCalls; }

private:
    struct Host;
    struct Event
    {
        MonotonicTime time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    using HostPointer = std::shared_ptr<Host>;
    void at(Duration delay, std::function<void()> action);
    void tickAndReschedule(const HostPointer &host);
    void deliver(const HostPointer &host, std::function<void(Membership &)> input);
    void processOutput(const HostPointer &host);
    void transmit(const HostPointer &from, const MembershipSend &send);
    void callPlatform(const HostPointer &host, const PlatformCall &call);
    [[nodiscard]] PlatformAnswer serve(const PlatformCall &call);
    void check();

    ManualClock m_clock;
    SeededRandom m_random;
    const MembershipOptions m_options;
    daemon::StandInState m_store{m_clock};
    std::map<std::string, HostPointer> m_hosts;
    std::vector<HostPointer> m_all;
    std::set<std::pair<std::string, std::string>> m_disconnectedPairs;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_platformCalls = 0;
    std::string m_violation;
};

} // namespace anvilmill::test
