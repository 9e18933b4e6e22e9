#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief What an executor says of itself where executors are listed.
struct ExecutorRegistration
{
    std::string id;
    std::string service;
    /// `host:port`.
    std::string address;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    /// Draining executors finish what they run and take no new starts.
    bool isDraining = false;
    /// Identifies the process behind the id; a restart under the same id has another one.
    std::uint64_t incarnation = 0;

    [[nodiscard]] friend bool operator==(const ExecutorRegistration &left,
                                         const ExecutorRegistration &right)
    {
        return left.id == right.id && left.service == right.service && left.address == right.address
               && left.dataCentre == right.dataCentre && left.capacity == right.capacity
               && left.labels == right.labels && left.isDraining == right.isDraining
               && left.incarnation == right.incarnation;
    }
};

} // namespace anvilmill
