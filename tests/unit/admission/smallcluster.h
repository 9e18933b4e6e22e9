#pragma once

#include "anvilmill/admission/admission.h"
#include "anvilmill/admission/message.h"
#include "anvilmill/admission/placement.h"
#include "anvilmill/manualclock.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::testing {

/// \brief Entry hosts of data centre "bole"; deliver() delivers their messages in order.
class SmallCluster
{
public:
    struct Host final : ClaimLink, ViewGuard
    {
        Host(SmallCluster &cluster, HostIncarnation host, const AdmissionSettings &settings)
            : owner(cluster)
            , self(std::move(host))
            , admission(self, settings, cluster.clock, *this, *this)
        {
        }

        void send(const HostIncarnation &to, const AdmissionMessage &message) override
        {
            owner.messages.push_back({self, to, message});
        }
        [[nodiscard]] View currentView() const override { return owner.view; }
        [[nodiscard]] bool mayActAsOwner() const override { return hasLease; }

        SmallCluster &owner;
        HostIncarnation self;
        bool hasLease = true;
        bool isAlive = true;
        Admission admission;
    };

    struct Message
    {
        HostIncarnation from;
        HostIncarnation to;
        AdmissionMessage message;
    };

    explicit SmallCluster(std::size_t hostCount)
    {
        settings.dataCentres = {"bole"};
        settings.secret = {1, 2};
        for (std::size_t i = 0; i < hostCount; ++i)
            addHost();
        adoptNewView();
    }

    Host &addHost()
    {
        const std::string name = "host" + std::to_string(hosts.size());
        hosts.push_back(std::make_unique<Host>(*this, HostIncarnation{"bole", name, 1}, settings));
        return *hosts.back();
    }

    /// Publishes the next view, of all hosts that are alive.
    void adoptNewView()
    {
        ++view.epoch;
        view.members.clear();
        for (const auto &host : hosts) {
            if (host->isAlive)
                view.members.push_back(host->self);
        }
        for (const auto &host : hosts) {
            if (host->isAlive)
                host->admission.viewAdopted(view);
        }
        deliver();
    }

    void deliver()
    {
        while (!messages.empty()) {
            const Message next = std::move(messages.front());
            messages.pop_front();
            for (const auto &host : hosts) {
                if (host->isAlive && host->self == next.to)
                    host->admission.receive(next.from, next.message);
            }
        }
    }

    void advanceTime(Duration time)
    {
        clock.advance(time);
        for (const auto &host : hosts) {
            if (host->isAlive)
                host->admission.tick();
        }
        deliver();
    }

    [[nodiscard]] SubmissionRequest request(const std::string &key, std::uint32_t attempt = 1,
                                            std::uint64_t digest = 7) const
    {
        return {*hosts.front()->admission.parseKey(key), attempt, digest};
    }

    /// Returns the decision after all messages have been delivered; Uncertain if there is none.
    ClaimDecision claim(Host &host, const SubmissionRequest &request)
    {
        const auto result = std::make_shared<ClaimDecision>();
        host.admission.claim(request,
                             [result](const ClaimDecision &decision) { *result = decision; });
        deliver();
        return *result;
    }

    ClaimDecision refuse(Host &host, const SubmissionRequest &request)
    {
        const auto result = std::make_shared<ClaimDecision>();
        host.admission.refuse(request,
                              [result](const ClaimDecision &decision) { *result = decision; });
        deliver();
        return *result;
    }

    Host &directoryOf(const std::string &key) { return *hosts[placed(key).directory]; }

    /// A host that is neither the directory nor the backup of \p key.
    Host &otherHost(const std::string &key)
    {
        const Placement::Hosts placedAt = placed(key);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (i != placedAt.directory && i != placedAt.backup && hosts[i]->isAlive)
                return *hosts[i];
        }
        return *hosts.front();
    }

    [[nodiscard]] Placement::Hosts placed(const std::string &key) const
    {
        Placement::Hosts placedAt = Placement(view).hostsOf(request(key).key.fingerprint());
        placedAt.directory = indexOf(view.members[placedAt.directory]);
        placedAt.backup = indexOf(view.members[placedAt.backup]);
        return placedAt;
    }

    [[nodiscard]] std::size_t indexOf(const HostIncarnation &host) const
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(),
                                        [&](const auto &entry) { return entry->self == host; });
        return static_cast<std::size_t>(found - hosts.begin());
    }

    ManualClock clock;
    AdmissionSettings settings;
    View view;
    std::vector<std::unique_ptr<Host>> hosts;
    std::deque<Message> messages;
};

} // namespace anvilmill::testing
