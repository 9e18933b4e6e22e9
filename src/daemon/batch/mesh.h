#pragma once

#include "batch/inboundconnection.h"

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <meshframe.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::daemon {

class TimerQueue;

/// \brief Notifications from a mesh to its owner, on the loop's thread.
struct MeshEvents
{
    std::function<void(const wire::meshframe::MeshFrame &)> received;
    /// A connection to or from the host was established: messages may have been lost before.
    std::function<void(const std::string &host)> connected;
    /// The connection on which the host's frames arrived has ended. Frames may be read from a
    /// connection long after its host has closed it.
    std::function<void(const std::string &host)> disconnected = {};
};

/// \brief Connections between entry hosts: CBOR frames over WebSockets, one connection per
/// direction.
///
/// Messages queued for a host in one iteration of the loop are sent as one frame. Frames arrive in
/// order while a connection lasts; messages in flight are lost when it breaks.
///
/// Thread safety: used by the loop's thread alone.
class Mesh
{
public:
    /// \brief Starts listening; throws boost::system::system_error on failure.
    ///
    /// Precondition: \p loop and \p timers outlive the mesh.
    Mesh(boost::asio::io_context &loop, TimerQueue &timers, std::string self,
         const boost::asio::ip::tcp::endpoint &address, MeshEvents events,
         const InboundLimits &limits = {});
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// \brief Accepts connections of these hosts, whatever the number of others.
    void setListed(const std::vector<PeerHost> &hosts);

    /// \brief Maintains connections to exactly these hosts, except this one.
    void setHosts(const std::vector<PeerHost> &hosts);

    /// \brief The frame that is sent to \p host after this iteration of the loop; nullptr if the
    /// host isn't connected.
    [[nodiscard]] wire::meshframe::MeshFrame *frameFor(const std::string &host);

    /// \brief Sends one frame, encoded once, to those of the hosts that are connected.
    void send(wire::meshframe::MeshFrame frame, const std::vector<std::string> &hosts);

    /// \brief Closes the connection to \p host, if any, and dials again.
    void redial(const std::string &host);

    [[nodiscard]] bool isConnected(const std::string &host) const;

    /// \brief The longest time for which a received frame can have been under way, including the time
    /// that it has waited in this host's sockets; std::nullopt if it can't be told.
    [[nodiscard]] std::optional<Duration> ageOf(const wire::meshframe::MeshFrame &frame) const;

    /// \brief Frames sent to other hosts since this process started.
    [[nodiscard]] std::uint64_t framesSent() const noexcept;

    /// \brief The hosts to which frames can be sent.
    [[nodiscard]] std::vector<std::string> connectedHosts() const;

private:
    class Link;
    struct State;

    static void accept(const std::shared_ptr<State> &state);
    static void accepted(const std::shared_ptr<State> &state, boost::asio::ip::tcp::socket socket);
    static void identified(const std::shared_ptr<State> &state,
                           const std::shared_ptr<InboundConnection> &connection);

    std::shared_ptr<State> m_state;
};

} // namespace anvilmill::daemon
