#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The entry with which an executor registers itself in the list of executors.
struct ExecutorRegistration
{
    std::string id;
    std::string service;
    /// `host:port`.
    std::string address;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    /// The rack that the executor is in; empty if it isn't known.
    std::string rack = {};
    /// A draining executor finishes its runs and accepts no new starts.
    bool isDraining = false;
    /// Identifies the process that uses the id; it changes when an executor restarts under the
    /// same id.
    std::uint64_t incarnation = 0;
    /// How long the executor runs tasks slowly from the time of the entry; 0 if it doesn't.
    Duration coldRemaining{};

    [[nodiscard]] bool isCold() const noexcept { return coldRemaining > Duration{}; }

    /// Cold executors are equal whatever time remains: it differs in each of their entries.
    [[nodiscard]] friend bool operator==(const ExecutorRegistration &left,
                                         const ExecutorRegistration &right)
    {
        return left.id == right.id && left.service == right.service && left.address == right.address
               && left.dataCentre == right.dataCentre && left.capacity == right.capacity
               && left.labels == right.labels && left.rack == right.rack
               && left.isDraining == right.isDraining && left.incarnation == right.incarnation
               && left.isCold() == right.isCold();
    }
};

} // namespace anvilmill
