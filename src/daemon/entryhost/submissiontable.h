#pragma once

#include "submission.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace anvilmill::daemon {

/// \brief The running and retained submissions of this entry host, by id.
///
/// Thread safety: all methods may be called from any thread. State is kept in shards by id, each
/// under its own lock.
class SubmissionTable
{
public:
    /// \brief Adds \p submission, or returns the one that already has its id.
    ///
    /// An entry that ended with "not run" is replaced by a later attempt.
    [[nodiscard]] std::shared_ptr<Submission> addOrFind(std::shared_ptr<Submission> submission);

    [[nodiscard]] std::shared_ptr<Submission> find(const std::string &id) const;
    void remove(const std::string &id);

    [[nodiscard]] std::size_t size() const;

private:
    struct Shard
    {
        mutable std::mutex lock;
        std::unordered_map<std::string, std::shared_ptr<Submission>> submissions;
    };

    static constexpr std::size_t ShardCount = 16;

    [[nodiscard]] Shard &shardOf(const std::string &id) const;

    mutable std::array<Shard, ShardCount> m_shards;
};

} // namespace anvilmill::daemon
