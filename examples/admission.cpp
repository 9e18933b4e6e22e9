// Uses Admission without the daemon: two hosts of one data centre agree which of them runs a
// submission, so that a resubmission through the other host starts no task. Messages are passed in
// memory.

#include "anvilmill/anvilmill.h"

#include <deque>
#include <iostream>
#include <map>

using namespace anvilmill;

namespace {

const HostIncarnation First{"bole", "first", 1};
const HostIncarnation Second{"bole", "second", 1};
const View BothHosts{1, {First, Second}};

/// Fixed membership view in which both hosts are alive.
class FixedView final : public ViewGuard
{
public:
    [[nodiscard]] View currentView() const override { return BothHosts; }
    [[nodiscard]] bool mayActAsOwner() const override { return true; }
};

/// Queues and delivers messages between the hosts of this process.
class Network
{
public:
    void attach(const HostIncarnation &host, Admission &admission) { m_hosts[host] = &admission; }

    void push(const HostIncarnation &from, const HostIncarnation &to,
              const AdmissionMessage &message)
    {
        m_messages.push_back({from, to, message});
    }

    void deliverAll()
    {
        while (!m_messages.empty()) {
            const Message next = m_messages.front();
            m_messages.pop_front();
            m_hosts.at(next.to)->receive(next.from, next.message);
        }
    }

private:
    struct Message
    {
        HostIncarnation from;
        HostIncarnation to;
        AdmissionMessage message;
    };

    std::map<HostIncarnation, Admission *> m_hosts;
    std::deque<Message> m_messages;
};

class HostLink final : public ClaimLink
{
public:
    HostLink(HostIncarnation self, Network &network)
        : m_self(std::move(self))
        , m_network(network)
    {
    }

    void send(const HostIncarnation &to, const AdmissionMessage &message) override
    {
        m_network.push(m_self, to, message);
    }

private:
    HostIncarnation m_self;
    Network &m_network;
};

ClaimOutcome claimAt(Admission &host, Network &network, const SubmissionRequest &request)
{
    ClaimOutcome outcome = ClaimOutcome::Uncertain;
    host.claim(request, [&](const ClaimDecision &decision) { outcome = decision.outcome; });
    network.deliverAll();
    return outcome;
}

} // namespace

int main()
{
    ManualClock clock;
    FixedView view;
    Network network;
    HostLink firstLink(First, network);
    HostLink secondLink(Second, network);
    AdmissionSettings settings;
    settings.dataCentres = {"bole"};
    Admission first(First, settings, clock, view, firstLink);
    Admission second(Second, settings, clock, view, secondLink);
    network.attach(First, first);
    network.attach(Second, second);
    first.viewAdopted(BothHosts);
    second.viewAdopted(BothHosts);
    network.deliverAll();

    const std::vector<Ticket> tickets = first.issueTickets(1);
    const Result<SubmissionKey> key = first.parseKey(tickets.front().asString());
    if (!key) {
        std::cerr << key.error().asString() << "\n";
        return 1;
    }
    const SubmissionRequest request{*key, 1, 42};
    const bool isGranted = claimAt(first, network, request) == ClaimOutcome::Granted;
    const bool isHeld = claimAt(second, network, request) == ClaimOutcome::Held;
    std::cout << "first host " << (isGranted ? "runs" : "does not run") << " the submission\n"
              << "resubmission through the second host is "
              << (isHeld ? "recognised" : "not recognised") << "\n";
    return isGranted && isHeld ? 0 : 1;
}
