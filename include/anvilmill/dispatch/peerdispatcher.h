#pragma once

#include "anvilmill/dispatch/dispatcher.h"

#include <dispatch.h>

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief All pending data for one entry host, sent as one message of the peer transport.
using DispatchBatch = wire::dispatch::DispatchBatch;

/// \brief A message to another entry host of the data centre.
struct PeerBatch
{
    std::string receiver;
    DispatchBatch batch;
};

/// \brief A dispatcher that shares the executors' slots with the other entry hosts.
///
/// Performs no I/O: after each event and at nextWakeTime(), the owner sends what takeMessages()
/// returns, and it passes received batches to receive(). A lost batch delays tasks but never
/// starts one twice: only the host to which a job was submitted starts its tasks.
///
/// Thread safety: one thread at a time.
class PeerDispatcher : public Dispatcher
{
public:
    /// \brief Replaces the entry hosts that share the slots.
    ///
    /// \p epoch is the epoch of the agreed membership view and increases with each change;
    /// \p members includes this host.
    virtual void setMembers(std::uint64_t epoch, const std::vector<std::string> &members) = 0;

    /// \brief Processes a batch from the entry host \p sender. Ignores batches of other epochs.
    virtual void receive(const std::string &sender, const DispatchBatch &batch) = 0;

    /// \brief Returns the batches to send now.
    [[nodiscard]] virtual std::vector<PeerBatch> takeMessages() = 0;
};

} // namespace anvilmill
