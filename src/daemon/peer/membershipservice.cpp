#include "membershipservice.h"

#include "log.h"

namespace anvilmill::daemon {

namespace {

constexpr std::chrono::milliseconds MaxWait{50};

} // namespace

MembershipService::MembershipService(MembershipServiceOptions options, PeerTransport &transport,
                                     KeyValueStore &store, HostList *hosts, const Clock &clock)
    : m_options(std::move(options))
    , m_transport(transport)
    , m_store(store)
    , m_hosts(hosts)
    , m_clock(clock)
    , m_random(std::hash<std::string>()(transport.self().asString()))
{
    transport.setHandler(PeerChannel::Membership,
                         [this](const PeerMessage &message) { onMessage(message); });
}

MembershipService::~MembershipService()
{
    stop();
}

void MembershipService::onViewChange(ViewHandler handler)
{
    m_viewHandler = std::move(handler);
}

void MembershipService::start()
{
    {
        const std::lock_guard lock(m_mutex);
        m_membership = std::make_unique<Membership>(m_options.membership, m_transport.self(),
                                                    m_transport.address(), m_options.seeds, m_clock,
                                                    m_random);
    }
    m_membershipThread = std::thread([this] { runMembership(); });
    m_platformThread = std::thread([this] { runPlatform(); });
}

void MembershipService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread *thread : {&m_membershipThread, &m_platformThread}) {
        if (thread->joinable())
            thread->join();
    }
}

bool MembershipService::leave(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    if (!m_membership)
        return true;
    m_membership->leave();
    m_changed.notify_all();
    return m_changed.wait_for(lock, timeout, [this] { return m_membership->hasLeft(); });
}

void MembershipService::onMessage(const PeerMessage &message)
{
    const auto content = message.body.get<wire::peer::MembershipMessage>();
    std::vector<MembershipSend> sends;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_membership || m_isStopping)
            return;
        m_membership->received(message.from, message.fromAddress, content);
        sends = m_membership->takeSends();
    }
    // Wakes the threads in case a platform call became due or the view changed.
    m_changed.notify_all();
    send(sends);
}

void MembershipService::send(const std::vector<MembershipSend> &sends)
{
    for (const MembershipSend &item : sends)
        m_transport.send({item.address, item.to}, PeerChannel::Membership, item.message);
}

void MembershipService::runMembership()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_membership->tick();
        if (!m_pendingCall)
            m_pendingCall = m_membership->takeCall();
        if (m_pendingCall)
            m_changed.notify_all();
        const std::vector<MembershipSend> sends = m_membership->takeSends();
        if (!sends.empty()) {
            lock.unlock();
            send(sends);
            lock.lock();
        }
        if (const auto view = takeNewView()) {
            // Releases the lock because the handler calls addressOf().
            lock.unlock();
            notifyViewChange(*view);
            lock.lock();
        }
        const Duration untilWake = m_membership->nextWakeTime() - m_clock.now();
        m_changed.wait_for(lock, std::min<Duration>(untilWake, MaxWait));
    }
}

std::optional<View> MembershipService::takeNewView()
{
    View view = m_membership->currentView();
    if (view.epoch == m_notifiedEpoch)
        return std::nullopt;
    m_notifiedEpoch = view.epoch;
    return view;
}

void MembershipService::notifyViewChange(const View &view)
{
    LogEvent("membership.view")
            .with("dataCentre", m_transport.self().dataCentre)
            .with("epoch", view.epoch)
            .with("members", view.members.size())
            .with("isMember", view.contains(m_transport.self()) ? 1 : 0);
    if (m_viewHandler)
        m_viewHandler(view);
}

bool MembershipService::hasPlatformWork() const
{
    return m_isStopping || m_pendingCall;
}

void MembershipService::runPlatform()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_changed.wait_for(lock, MaxWait, [this] { return hasPlatformWork(); });
        if (m_pendingCall && !m_isStopping) {
            const PlatformCall call = *m_pendingCall;
            lock.unlock();
            const PlatformAnswer answer = perform(call, m_store, m_options.callTimeout);
            lock.lock();
            m_pendingCall.reset();
            m_membership->answered(answer);
            m_changed.notify_all();
        }
        const bool isMember = m_membership->agreement().isMember();
        if (!m_hosts || isMember || m_isStopping || m_clock.now() < m_nextHostList)
            continue;
        m_nextHostList = m_clock.now() + m_options.hostListInterval;
        lock.unlock();
        readHostList();
        lock.lock();
    }
}

void MembershipService::readHostList()
{
    const std::string &dataCentre = m_transport.self().dataCentre;
    const HostListReply reply = m_hosts->hosts(dataCentre, m_options.callTimeout);
    std::vector<MembershipSeed> seeds;
    for (const ListedHost &host : reply.hosts) {
        if (host.role == ListedHost::Role::EntryHost)
            seeds.push_back({host.dataCentre, host.address});
    }
    const std::lock_guard lock(m_mutex);
    m_membership->addSeeds(seeds);
}

View MembershipService::currentView() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership ? m_membership->currentView() : View();
}

bool MembershipService::mayActAsOwner() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership && m_membership->mayActAsOwner();
}

std::vector<PeerStatus> MembershipService::alivePeers() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership ? m_membership->alivePeers() : std::vector<PeerStatus>();
}

std::vector<wire::peer::DataCentreSummary> MembershipService::dataCentres() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership ? m_membership->directory().all()
                        : std::vector<wire::peer::DataCentreSummary>();
}

std::string MembershipService::addressOf(const HostIncarnation &member) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_membership)
        return {};
    const wire::peer::ViewRecord &record = m_membership->agreement().record();
    const wire::peer::Member *entry = findMember(record, member);
    return entry ? entry->address : std::string();
}

} // namespace anvilmill::daemon
