#include "submissiontable.h"

namespace anvilmill::daemon {

SubmissionTable::Shard &SubmissionTable::shardOf(const std::string &id) const
{
    return m_shards[std::hash<std::string>()(id) % ShardCount];
}

std::shared_ptr<Submission> SubmissionTable::addOrFind(std::shared_ptr<Submission> submission)
{
    const std::string &id = submission->spec().submission;
    Shard &shard = shardOf(id);
    const std::lock_guard<std::mutex> guard(shard.lock);
    std::shared_ptr<Submission> &entry = shard.submissions[id];
    if (!entry || entry->isOpenFor(submission->request().attempt))
        entry = std::move(submission);
    return entry;
}

std::shared_ptr<Submission> SubmissionTable::find(const std::string &id) const
{
    Shard &shard = shardOf(id);
    const std::lock_guard<std::mutex> guard(shard.lock);
    const auto found = shard.submissions.find(id);
    return found == shard.submissions.end() ? nullptr : found->second;
}

void SubmissionTable::remove(const std::string &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard<std::mutex> guard(shard.lock);
    shard.submissions.erase(id);
}

std::size_t SubmissionTable::size() const
{
    std::size_t total = 0;
    for (Shard &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard.lock);
        total += shard.submissions.size();
    }
    return total;
}

} // namespace anvilmill::daemon
