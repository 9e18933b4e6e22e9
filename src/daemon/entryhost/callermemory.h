#pragma once

#include "loop/bytebudget.h"

#include "anvilmill/admission/jobtable.h"
#include "anvilmill/job.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace anvilmill::daemon {

/// \brief What callers can make one entry host hold, as parts of the memory of its process.
///
/// Thread safety: the budgets may be used from any thread.
struct CallerMemory
{
    /// \brief Every budget has room for one request with a body of \p maxBodyBytes.
    CallerMemory(std::size_t memoryBytes, std::size_t maxBodyBytes);

    /// Bodies that are being received and decoded.
    std::shared_ptr<ByteBudget> requests;
    /// Jobs that have not ended.
    std::shared_ptr<ByteBudget> openJobs;
    /// Ended submissions with their answers.
    std::size_t retainedBytes;
};

/// \brief Bytes that a request holds whose body has \p size bytes, while it is decoded.
[[nodiscard]] std::size_t decodedRequestBytes(std::size_t size) noexcept;

/// \brief Bytes that a job with \p tasks holds until it has ended.
[[nodiscard]] std::size_t openJobBytes(const std::vector<TaskSpec> &tasks) noexcept;

/// \brief Bytes that an ended submission holds.
[[nodiscard]] std::size_t retainedJobBytes(const std::vector<TaskSpec> &tasks,
                                           const JobOutcome &outcome) noexcept;

} // namespace anvilmill::daemon
