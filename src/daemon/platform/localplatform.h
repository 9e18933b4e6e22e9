#pragma once

#include "standinstate.h"

namespace anvilmill::daemon {

/// \brief In-process access to the contents of the platform stand-in, without HTTP.
///
/// Calls never fail. Thread safety: all methods may be called from any thread.
class LocalPlatform final : public KeyValueStore, public HostList
{
public:
    /// \brief \p state must outlive this object.
    explicit LocalPlatform(StandInState &state)
        : m_state(state)
    {
    }

    [[nodiscard]] StoreReply get(const std::string &key, Duration timeout) override;
    [[nodiscard]] StoreReply put(const StorePut &change, Duration timeout) override;
    [[nodiscard]] StoreReply watch(const std::string &key, StoreVersion known,
                                   Duration wait) override;
    [[nodiscard]] LeaseReply grantLease(const std::string &holder, Duration length,
                                        Duration timeout) override;
    [[nodiscard]] LeaseReply renewLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply queryLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply releaseLease(LeaseId lease, Duration timeout) override;
    [[nodiscard]] HostListReply hosts(const std::string &dataCentre, Duration timeout) override;

private:
    StandInState &m_state;
};

} // namespace anvilmill::daemon
