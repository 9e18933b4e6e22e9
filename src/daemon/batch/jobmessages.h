#pragma once

#include "anvilmill/scheduling/batchjob.h"

#include <meshframe.h>

#include <optional>
#include <string>

/// Conversions between the messages that transfer jobs to a dispatcher and the library's types.
namespace anvilmill::daemon::mesh {

/// \brief Adds \p job to \p frame, with its spec.
void addJob(wire::meshframe::MeshFrame &frame, JobNumber number, const BatchJob &job,
            MonotonicTime now);

/// \brief The job of a message; std::nullopt if the message is inconsistent.
[[nodiscard]] std::optional<BatchJob> jobOf(const wire::meshframe::MeshFrame &frame,
                                            const wire::meshframe::MeshJob &message,
                                            MonotonicTime now);

[[nodiscard]] wire::meshframe::MeshJobEnd jobEndMessage(JobNumber number,
                                                        const BatchResult &result);
[[nodiscard]] BatchResult resultOf(const wire::meshframe::MeshJobEnd &message);

} // namespace anvilmill::daemon::mesh
