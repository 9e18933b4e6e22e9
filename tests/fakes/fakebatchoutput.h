#pragma once

#include "anvilmill/scheduling/batchjob.h"

#include <map>
#include <vector>

namespace anvilmill::tests {

/// Records the orders and results of a batch scheduler.
class FakeBatchOutput final : public BatchOutput
{
public:
    void startTask(const TaskStart &start) override { starts.push_back(start); }
    void stopTask(std::size_t, const RunId &run) override { stops.push_back(run); }
    void jobEnded(JobNumber job, const BatchResult &result) override { ends[job] = result; }

    std::vector<TaskStart> starts;
    std::vector<RunId> stops;
    std::map<JobNumber, BatchResult> ends;
};

} // namespace anvilmill::tests
