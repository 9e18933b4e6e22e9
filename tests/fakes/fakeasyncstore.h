#pragma once

#include "anvilmill/platform/asyncstore.h"
#include "loop/timerscope.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <vector>

namespace anvilmill::tests {

/// What the fake stores of several hosts share: items and all changes by revision.
struct FakeStoreContents
{
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> history;
    StoreVersion revision = 1;

    void put(const std::string &key, const std::string &value)
    {
        items[key] = {key, value, ++revision, false};
        history.push_back(items[key]);
    }

    void remove(const std::string &key)
    {
        items.erase(key);
        history.push_back({key, "", ++revision, true});
    }
};

/// One host's way to a store on an event loop; can be cut, counts its calls.
class FakeAsyncStore final : public AsyncStore
{
public:
    FakeAsyncStore(daemon::TimerQueue &timers, std::shared_ptr<FakeStoreContents> contents)
        : m_contents(std::move(contents))
        , m_timers(timers)
    {
    }

    void setCut(bool isCut) { m_isCut = isCut; }
    /// How long reads take; they say what there was when they began.
    void setReadTime(Duration time) { m_readTime = time; }
    /// How many changes an answer to a watch holds at most.
    void setMostChanges(std::size_t count) { m_mostChanges = count; }
    [[nodiscard]] int reads() const { return m_reads; }
    [[nodiscard]] int watches() const { return m_watches; }

    void readAll(const std::string &, ItemsHandler handler) override
    {
        ++m_reads;
        StoreItems answer;
        answer.outcome = CallOutcome::Done;
        answer.revision = m_contents->revision;
        for (const auto &[key, item] : m_contents->items)
            answer.items.push_back(item);
        m_timers.after(m_readTime, [this, answer, handler = std::move(handler)] {
            handler(m_isCut ? StoreItems{} : answer);
        });
    }

    void watch(const std::string &, StoreVersion revision, Duration, ItemsHandler handler) override
    {
        ++m_watches;
        awaitChange(revision, std::move(handler));
    }

    void commit(const StoreTransaction &, CommitHandler handler) override { fail(handler); }
    void grantLease(Duration, CommitHandler handler) override { fail(handler); }
    void renewLease(LeaseId, CommitHandler handler) override { fail(handler); }
    void endLease(LeaseId, CommitHandler handler) override { fail(handler); }

private:
    static constexpr Duration Answer = std::chrono::milliseconds(4);

    void awaitChange(StoreVersion revision, ItemsHandler handler)
    {
        m_timers.after(Answer, [this, revision, handler = std::move(handler)]() mutable {
            StoreItems answer;
            if (m_isCut) {
                handler(answer);
                return;
            }
            answer.outcome = CallOutcome::Done;
            answer.revision = m_contents->revision;
            std::copy_if(m_contents->history.begin(), m_contents->history.end(),
                         std::back_inserter(answer.items),
                         [=](const StoreItem &item) { return item.revision > revision; });
            if (answer.items.size() > m_mostChanges) {
                answer.items.resize(m_mostChanges);
                answer.revision = answer.items.back().revision;
            }
            if (answer.items.empty())
                awaitChange(revision, std::move(handler));
            else
                handler(answer);
        });
    }

    void fail(const CommitHandler &handler)
    {
        m_timers.after(Answer, [handler] { handler(StoreCommit{}); });
    }

    std::shared_ptr<FakeStoreContents> m_contents;
    Duration m_readTime = Answer;
    std::size_t m_mostChanges = std::numeric_limits<std::size_t>::max();
    bool m_isCut = false;
    int m_reads = 0;
    int m_watches = 0;
    /// Calls under way are not answered once their host is gone.
    daemon::TimerScope m_timers;
};

} // namespace anvilmill::tests
