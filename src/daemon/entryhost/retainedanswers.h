#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/job.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Decides which ended submissions an entry host still keeps.
///
/// Each is kept for the retention, but all together hold at most a number of bytes. Beyond it, the
/// submission with the largest product of size and age is evicted, so that large answers that nobody
/// fetches don't displace the small ones of other callers.
///
/// Load pattern: callers that submit large jobs and leave.
///
/// Thread safety: all methods may be called from any thread.
class RetainedAnswers
{
public:
    struct Answer
    {
        std::string id;
        JobNumber number = 0;
        MonotonicTime ended;
        std::size_t bytes = 0;
    };

    RetainedAnswers(Duration retention, std::size_t maxBytes);

    /// \brief Keeps \p answer. Precondition: answers are added in the order of their ends, except for
    /// ends on different threads at the same time.
    void add(Answer answer);

    /// \brief Removes and returns the answers whose retention has passed at \p now, and those to evict.
    [[nodiscard]] std::vector<Answer> takeDue(MonotonicTime now);

    [[nodiscard]] std::size_t bytes() const;

    /// \brief Answers that were evicted before their retention had passed.
    [[nodiscard]] std::uint64_t evicted() const;

private:
    /// Answers whose sizes have the same number of binary digits, in the order of their ends.
    using SizeClass = std::deque<Answer>;

    [[nodiscard]] SizeClass &largestAndOldest(MonotonicTime now);
    void takeFirst(SizeClass &answers, std::vector<Answer> &taken);

    Duration m_retention;
    std::size_t m_maxBytes;
    mutable std::mutex m_lock;
    std::array<SizeClass, 65> m_classes;
    std::size_t m_bytes = 0;
    std::uint64_t m_evicted = 0;
};

} // namespace anvilmill::daemon
