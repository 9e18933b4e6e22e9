#pragma once

#include "anvilmill/executor/resources.h"
#include "anvilmill/executor/run.h"
#include "anvilmill/job.h"
#include "anvilmill/scheduling/capacityview.h"

#include <meshframe.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Conversions between the messages of the mesh and the library's types.
namespace anvilmill::daemon::mesh {

[[nodiscard]] wire::meshframe::Outcome asWire(RunOutcome outcome);
[[nodiscard]] RunOutcome fromWire(wire::meshframe::Outcome outcome);

template <typename Message>
[[nodiscard]] RunId runOf(const Message &message)
{
    return {message.task, static_cast<std::uint64_t>(message.run)};
}

/// \brief The requesting host's number of the job; 0 if the message names none.
template <typename Message>
[[nodiscard]] JobNumber jobNumberOf(const Message &message)
{
    return static_cast<JobNumber>(message.job.value_or(0));
}

template <typename Message>
void setJob(Message &message, JobNumber job)
{
    if (job != 0)
        message.job = static_cast<std::int64_t>(job);
}

template <typename Message>
[[nodiscard]] Resources resourcesOf(const Message &message)
{
    return {message.cpu, message.memory, message.gpus};
}

template <typename Message>
void setRun(Message &message, const RunId &run)
{
    message.task = run.task;
    message.run = static_cast<std::int64_t>(run.number);
}

template <typename Message>
void setResources(Message &message, const Resources &resources)
{
    message.cpu = resources.milliCores;
    message.memory = resources.memoryMb;
    message.gpus = resources.gpus;
}

template <typename Message>
void append(std::optional<std::vector<Message>> &list, Message message)
{
    if (!list)
        list.emplace();
    list->push_back(std::move(message));
}

[[nodiscard]] wire::meshframe::MeshEnd endMessage(const RunEnd &end, const std::string &executor);
[[nodiscard]] RunEnd endOf(const wire::meshframe::MeshEnd &message);

/// \brief Removes the request to start \p run from a frame that hasn't been sent; false if there is none.
bool withdrawStart(wire::meshframe::MeshFrame &frame, const std::string &executor,
                   const RunId &run);

/// \brief Adds the free capacity of an executor that the sender holds.
void addCapacity(wire::meshframe::MeshFrame &frame, const std::string &executor,
                 const Resources &free);

/// \brief The capacity reports in the frame.
[[nodiscard]] std::vector<CapacityReport>
capacityReportsOf(const wire::meshframe::MeshFrame &frame);

/// \brief Returns the index of \p spec in the frame's `specs` list, and appends it unless it is the
/// last one. Tasks of one job are added consecutively and so share an entry.
[[nodiscard]] std::int64_t specIndex(wire::meshframe::MeshFrame &frame, const std::string &spec);

} // namespace anvilmill::daemon::mesh
