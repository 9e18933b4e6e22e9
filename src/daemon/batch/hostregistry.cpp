#include "hostregistry.h"

#include "log.h"
#include "loop/timerqueue.h"

#include "anvilmill/randomsource.h"

#include <hostentry.h>

namespace anvilmill::daemon {

namespace {

/// When hundreds of hosts start together, their entries are processed a few dozen at a time: each
/// change of the membership makes every host compute the assignment of every executor.
constexpr Duration EntriesBatchInterval = std::chrono::milliseconds(100);

FollowIntervals entriesFollowIntervals()
{
    FollowIntervals intervals;
    intervals.watchInterval = EntriesBatchInterval;
    return intervals;
}

std::string encoded(const PeerHost &host, std::uint64_t incarnation)
{
    wire::hostentry::HostEntry entry;
    entry.dataCentre = host.dataCentre;
    entry.peerAddress = host.peerAddress;
    entry.incarnation = static_cast<std::int64_t>(incarnation);
    entry.isLeaving = host.isLeaving;
    if (host.milliCores > 0)
        entry.milliCores = host.milliCores;
    nlohmann::json document;
    wire::hostentry::to_json(document, entry);
    return document.dump();
}

std::optional<PeerHost> decoded(const std::string &name, const std::string &value)
{
    try {
        wire::hostentry::HostEntry entry;
        wire::hostentry::from_json(nlohmann::json::parse(value), entry);
        return PeerHost{name, entry.dataCentre, entry.peerAddress, entry.isLeaving,
                        entry.milliCores.value_or(0)};
    } catch (const nlohmann::json::exception &exception) {
        LogEvent("host.entryUnreadable", LogEvent::Level::Warning)
                .with("host", name)
                .with("reason", exception.what());
        return std::nullopt;
    }
}

} // namespace

HostRegistry::HostRegistry(AsyncStore &store, TimerQueue &timers, const Clock &clock,
                           RandomSource &random, const RegistrySettings &settings, PeerHost self,
                           std::uint64_t incarnation, MembershipHandler handler)
    : m_store(store)
    , m_random(random)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_handler(std::move(handler))
    , m_listing(clock, settings.settleDelay)
    , m_follower(store, timers, random, settings.prefix, entriesFollowIntervals(),
                 [this](const std::vector<StoreItem> &changes) { entriesChanged(changes); })
    , m_timers(timers)
{
}

void HostRegistry::start()
{
    m_follower.start();
    acquireLease();
}

void HostRegistry::acquireLease()
{
    if (m_hasLeft)
        return;
    m_store.grantLease(m_settings.lease, [this](const StoreCommit &answer) {
        if (answer.outcome != CallOutcome::Done) {
            retry(&HostRegistry::acquireLease);
            return;
        }
        m_lease = answer.lease;
        writeEntry();
    });
}

void HostRegistry::writeEntry()
{
    if (m_hasLeft)
        return;
    const std::string key = m_settings.prefix + m_self.name;
    m_store.commit({{}, {{key, encoded(m_self, m_incarnation), m_lease}}, {}},
                   [this](const StoreCommit &answer) {
                       if (answer.outcome == CallOutcome::NoLease)
                           retry(&HostRegistry::acquireLease);
                       else if (answer.outcome != CallOutcome::Done)
                           retry(&HostRegistry::writeEntry);
                       else
                           later(&HostRegistry::renew, m_settings.renewal);
                   });
}

void HostRegistry::renew()
{
    if (m_hasLeft)
        return;
    // The mirror reveals that the entry was removed or is that of an earlier incarnation.
    const auto &items = m_follower.mirror().items();
    const auto own = items.find(m_settings.prefix + m_self.name);
    if (m_follower.isCurrent()
        && (own == items.end() || own->second.value != encoded(m_self, m_incarnation))) {
        writeEntry();
        return;
    }
    m_store.renewLease(m_lease, [this](const StoreCommit &answer) { renewed(answer); });
}

void HostRegistry::renewed(const StoreCommit &answer)
{
    if (answer.outcome == CallOutcome::NoLease) {
        LogEvent("host.leaseLapsed", LogEvent::Level::Warning).with("lease", m_lease);
        acquireLease();
    } else if (answer.outcome == CallOutcome::Done) {
        later(&HostRegistry::renew, m_settings.renewal);
    } else {
        retry(&HostRegistry::renew);
    }
}

void HostRegistry::retry(void (HostRegistry::*step)())
{
    later(step,
          std::chrono::duration_cast<Duration>(m_settings.retry * (0.5 + m_random.nextUnit())));
}

void HostRegistry::later(void (HostRegistry::*step)(), Duration delay)
{
    m_timers.after(delay, [this, step] { (this->*step)(); });
}

void HostRegistry::entriesChanged(const std::vector<StoreItem> &changes)
{
    for (const StoreItem &item : changes) {
        m_hosts.erase(item.key);
        if (item.isRemoved)
            continue;
        if (auto host = decoded(item.key.substr(m_settings.prefix.size()), item.value))
            m_hosts.emplace(item.key, std::move(*host));
    }
    HostMembership membership;
    membership.revision = m_follower.mirror().revision();
    for (const auto &[key, host] : m_hosts)
        membership.hosts.push_back(host);
    m_listing.setListed(std::move(membership));
    adoptDue();
}

void HostRegistry::adoptDue()
{
    if (const auto membership = m_listing.takeDue()) {
        LogEvent("hosts.adopted")
                .with("membership", membership->revision)
                .with("hosts", membership->hosts.size());
        m_handler(*membership);
    } else if (const auto due = m_listing.nextDue()) {
        m_timers.at(*due, [this] { adoptDue(); });
    }
}

void HostRegistry::announceLeave()
{
    m_self.isLeaving = true;
    writeEntry();
}

void HostRegistry::leave(std::function<void()> done)
{
    m_hasLeft = true;
    m_store.endLease(m_lease, [done = std::move(done)](const StoreCommit &) { done(); });
}

} // namespace anvilmill::daemon
