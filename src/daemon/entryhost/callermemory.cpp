#include "callermemory.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// The rest is for the program, connections, peers and the allocator.
constexpr std::size_t MemoryPart = 4;
/// The body, its document, the request read from it, and the job.
constexpr std::size_t DecodedCopies = 4;
/// The submission's entries in tables, queues and the record of its claim.
constexpr std::size_t JobOverhead = 2048;
/// Descriptions, queue entries and states of one task, and the allocator's share.
constexpr std::size_t OpenTaskOverhead = 400;
constexpr std::size_t RetainedTaskOverhead = 256;
/// The submission and the job table each have the outputs.
constexpr std::size_t OutputCopies = 2;

std::size_t payloadBytes(const std::vector<TaskSpec> &tasks)
{
    std::size_t bytes = 0;
    for (const TaskSpec &task : tasks)
        bytes += task.payload.size();
    return bytes;
}

} // namespace

CallerMemory::CallerMemory(std::size_t memoryBytes, std::size_t maxBodyBytes)
{
    const std::size_t part = std::max(memoryBytes / MemoryPart, decodedRequestBytes(maxBodyBytes));
    requests = std::make_shared<ByteBudget>(part);
    openJobs = std::make_shared<ByteBudget>(part);
    retainedBytes = part;
}

std::size_t decodedRequestBytes(std::size_t size) noexcept
{
    return size * DecodedCopies;
}

std::size_t openJobBytes(const std::vector<TaskSpec> &tasks) noexcept
{
    // An executor may answer each task with as much as it was sent.
    return JobOverhead + tasks.size() * OpenTaskOverhead + 2 * payloadBytes(tasks);
}

std::size_t retainedJobBytes(const std::vector<TaskSpec> &tasks, const JobOutcome &outcome) noexcept
{
    std::size_t outputs = 0;
    for (const std::string &output : outcome.outputs)
        outputs += output.size();
    return JobOverhead + tasks.size() * RetainedTaskOverhead + payloadBytes(tasks)
           + OutputCopies * outputs;
}

} // namespace anvilmill::daemon
