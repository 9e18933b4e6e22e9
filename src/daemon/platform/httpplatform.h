#pragma once

#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Client of the platform's key-value service and host list over HTTP.
///
/// Reuses connections. A call ends as Unreachable if no connection could be opened or the service
/// rejected it with 503, and as Unknown if no usable response was received.
///
/// Thread safety: all methods may be called from any thread; calls run concurrently.
class HttpPlatform final : public KeyValueStore, public HostList
{
public:
    /// \brief \p address is the `address:port` of the platform's service.
    explicit HttpPlatform(std::string address);
    ~HttpPlatform() override;

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
    struct Request;
    struct CallResult;
    class Connection;

    [[nodiscard]] CallResult call(const Request &request, Duration timeout);
    [[nodiscard]] CallResult exchange(Connection &connection, const Request &request) const;
    [[nodiscard]] std::unique_ptr<Connection> acquireConnection(Duration timeout);
    void releaseConnection(std::unique_ptr<Connection> connection);
    [[nodiscard]] LeaseReply leaseCall(const Request &request, Duration timeout);

    const std::string m_address;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace anvilmill::daemon
