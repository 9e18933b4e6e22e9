#pragma once

#include "anvilmill/configuration/follower.h"
#include "anvilmill/configuration/revisionstore.h"
#include "anvilmill/manualclock.h"
#include "scriptedstore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::fakes {

/// \brief A configuration change on one host.
struct InForceEvent
{
    MonotonicTime at;
    RevisionId id;
};

/// \brief Entry hosts with real followers on a simulated network and platform, in virtual time.
class FollowerFleet
{
public:
    struct Network
    {
        Duration latency = std::chrono::milliseconds(1);
        Duration jitter = std::chrono::milliseconds(1);
        double loss = 0;
        double duplicates = 0;
        /// Share of messages that take up to 300 ms.
        double delayed = 0;
    };

    struct Host final : FollowerOutput
    {
        FollowerFleet *fleet = nullptr;
        HostIncarnation id;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<Follower> follower;
        StoreVersion knownVersion = NoVersion;
        bool isAlive = true;
        std::vector<InForceEvent> inForce;
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
        std::uint64_t storeBytes = 0;
        int storeCalls = 0;

        void send(const HostIncarnation &peer, const ConfigurationMessage &message) override
        {
            fleet->transmit(*this, peer, encode(message));
        }
        void configurationChanged(const Configuration &configuration) override
        {
            inForce.push_back({fleet->clock.now(), configuration.id});
        }
    };

    ManualClock clock;
    ScriptedStore store;
    Network network;
    FollowerOptions options;
    /// Pairs of data centres that can't reach each other.
    std::set<std::pair<std::string, std::string>> cutPairs;
    /// Data centres that can't reach the platform.
    std::set<std::string> cutFromPlatform;
    /// Fault injection: hosts accept an older revision from the platform.
    bool acceptsOlderStore = false;
    Duration storeLatency = std::chrono::milliseconds(5);
    Duration storeRetry = std::chrono::seconds(1);

    FollowerFleet(std::uint64_t seed, int dataCentres, int hostsEach)
        : revisions(store, [](Duration) {})
        , m_random(seed)
    {
        for (int d = 0; d < dataCentres; ++d) {
            for (int h = 0; h < hostsEach; ++h)
                addHost("dc" + std::to_string(d), "host" + std::to_string(h));
        }
        updatePeers();
    }

    RevisionStore revisions;

    [[nodiscard]] std::vector<Host *> liveHosts()
    {
        std::vector<Host *> live;
        for (auto &host : m_hosts) {
            if (host->isAlive)
                live.push_back(host.get());
        }
        return live;
    }

    [[nodiscard]] const std::vector<std::unique_ptr<Host>> &allHosts() const { return m_hosts; }

    Host &addHost(const std::string &dataCentre, const std::string &name)
    {
        m_hosts.push_back(std::make_unique<Host>());
        Host &host = *m_hosts.back();
        host.fleet = this;
        host.id = {dataCentre, name, ++m_incarnations};
        host.random = std::make_unique<SeededRandom>(m_random.next());
        startFollower(host);
        schedule(Duration::zero(), [this, &host] { tickLoop(host); });
        schedule(storeLatency, [this, &host] { storeLoop(host); });
        return host;
    }

    /// \brief Replaces \p host by a new incarnation without state.
    Host &replace(Host &host)
    {
        host.isAlive = false;
        Host &next = addHost(host.id.dataCentre, host.id.host);
        updatePeers();
        return next;
    }

    /// \brief Sends the list of live hosts to every host, as membership does.
    void updatePeers()
    {
        std::vector<HostIncarnation> live;
        for (const Host *host : liveHosts())
            live.push_back(host->id);
        for (Host *host : liveHosts())
            host->follower->setPeers(live);
    }

    /// \brief Delivers a watch notification to every live host.
    void notifyWatches()
    {
        for (Host *host : liveHosts())
            schedule(storeLatency, [this, host] { checkStore(*host); });
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({clock.now() + delay, ++m_order, std::move(action)});
    }

    /// \brief Runs events for \p length of virtual time.
    void run(Duration length)
    {
        const MonotonicTime end = clock.now() + length;
        while (!m_events.empty() && m_events.top().at <= end)
            runNext();
        clock.advance(end - clock.now());
    }

    /// \brief Runs until \p isDone returns true. Returns the virtual time taken, or nullopt if
    /// \p limit passes first.
    std::optional<Duration> runUntil(const std::function<bool()> &isDone, Duration limit)
    {
        const MonotonicTime start = clock.now();
        while (!isDone()) {
            if (m_events.empty() || m_events.top().at > start + limit)
                return std::nullopt;
            runNext();
        }
        return clock.now() - start;
    }

    [[nodiscard]] bool isInForceEverywhere(const RevisionId &id)
    {
        for (const Host *host : liveHosts()) {
            if (host->follower->held() != id)
                return false;
        }
        return true;
    }

    /// \brief Describes the first host whose revision did not increase with a change; empty if
    /// there is none.
    [[nodiscard]] std::string findRevert() const
    {
        for (const auto &host : m_hosts) {
            for (std::size_t i = 1; i < host->inForce.size(); ++i) {
                const RevisionId &before = host->inForce[i - 1].id;
                const RevisionId &after = host->inForce[i].id;
                if (after.revision <= before.revision)
                    return host->id.asString() + " went from revision "
                           + std::to_string(before.revision) + " to "
                           + std::to_string(after.revision);
            }
        }
        return "";
    }

    [[nodiscard]] bool reachesPlatform(const Host &host) const
    {
        return !store.isDown && cutFromPlatform.count(host.id.dataCentre) == 0;
    }

private:
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void startFollower(Host &host)
    {
        host.follower = std::make_unique<Follower>(host.id, clock, *host.random, host, options);
    }

    void runNext()
    {
        Event event = m_events.top();
        m_events.pop();
        clock.advance(event.at - clock.now());
        event.action();
    }

    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const
    {
        return cutPairs.count({from, to}) > 0 || cutPairs.count({to, from}) > 0;
    }

    void transmit(Host &from, const HostIncarnation &to, const std::string &bytes)
    {
        from.bytesSent += bytes.size();
        const int copies = m_random.nextUnit() < network.duplicates ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.nextUnit() < network.loss)
                continue;
            Duration delay =
                    network.latency
                    + std::chrono::duration_cast<Duration>(network.jitter * m_random.nextUnit());
            if (m_random.nextUnit() < network.delayed)
                delay += std::chrono::milliseconds(m_random.nextBelow(300));
            const HostIncarnation sender = from.id;
            schedule(delay, [this, sender, to, bytes] { deliver(sender, to, bytes); });
        }
    }

    void deliver(const HostIncarnation &from, const HostIncarnation &to, const std::string &bytes)
    {
        if (isCut(from.dataCentre, to.dataCentre))
            return;
        for (Host *host : liveHosts()) {
            if (host->id != to)
                continue;
            host->bytesReceived += bytes.size();
            const Result<ConfigurationMessage> message = decodeConfigurationMessage(bytes);
            if (message)
                host->follower->receive(from, *message);
        }
    }

    void tickLoop(Host &host)
    {
        if (!host.isAlive)
            return;
        host.follower->tick();
        const Duration pause = host.follower->nextTick() - clock.now();
        schedule(std::clamp<Duration>(pause, std::chrono::milliseconds(1), std::chrono::seconds(1)),
                 [this, &host] { tickLoop(host); });
    }

    void storeLoop(Host &host)
    {
        if (!host.isAlive)
            return;
        checkStore(host);
        const auto jitter = std::chrono::duration_cast<Duration>(storeRetry * m_random.nextUnit());
        schedule(storeRetry / 2 + jitter / 2, [this, &host] { storeLoop(host); });
    }

    void checkStore(Host &host)
    {
        if (!host.isAlive || !reachesPlatform(host))
            return;
        if (host.follower->storeTask() == StoreTask::Watch)
            readHead(host);
        if (host.follower->storeTask() == StoreTask::ReadConfiguration) {
            host.storeCalls += 2;
            const Result<Configuration> whole = revisions.readConfiguration();
            if (whole)
                host.follower->receiveStoreConfiguration(*whole);
        }
    }

    void readHead(Host &host)
    {
        const StoreReply reply = store.get(configurationHeadKey(), Duration::zero());
        if (!reply.entry || reply.entry->version == host.knownVersion)
            return;
        ++host.storeCalls;
        host.storeBytes += reply.entry->value.size();
        host.knownVersion = reply.entry->version;
        const Result<StoredHead> stored = parseStoredHead(reply);
        if (!stored)
            return;
        if (acceptsOlderStore && stored->id().revision < host.follower->held().revision) {
            startFollower(host);
            host.follower->setPeers({});
        }
        host.follower->receiveStoreHead(*stored->head);
    }

    SeededRandom m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnations = 0;
};

} // namespace anvilmill::fakes
