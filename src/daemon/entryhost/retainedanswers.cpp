#include "retainedanswers.h"

#include <algorithm>
#include <utility>

namespace anvilmill::daemon {

namespace {

std::size_t binaryDigits(std::size_t value)
{
    std::size_t digits = 0;
    for (; value > 0; value >>= 1U)
        ++digits;
    return digits;
}

double byteSeconds(const RetainedAnswers::Answer &answer, MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(now - answer.ended).count();
    return static_cast<double>(answer.bytes) * seconds;
}

} // namespace

RetainedAnswers::RetainedAnswers(Duration retention, std::size_t maxBytes)
    : m_retention(retention)
    , m_maxBytes(maxBytes)
{
}

void RetainedAnswers::add(Answer answer)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_bytes += answer.bytes;
    m_classes[binaryDigits(answer.bytes)].push_back(std::move(answer));
}

std::vector<RetainedAnswers::Answer> RetainedAnswers::takeDue(MonotonicTime now)
{
    std::vector<Answer> taken;
    const std::lock_guard<std::mutex> guard(m_lock);
    for (SizeClass &answers : m_classes) {
        while (!answers.empty() && now - answers.front().ended >= m_retention)
            takeFirst(answers, taken);
    }
    while (m_bytes > m_maxBytes) {
        takeFirst(largestAndOldest(now), taken);
        ++m_evicted;
    }
    return taken;
}

// Within a class, sizes differ by less than a factor of two, so its first answer is close to its best.
RetainedAnswers::SizeClass &RetainedAnswers::largestAndOldest(MonotonicTime now)
{
    const auto weight = [now](const SizeClass &answers) {
        return answers.empty() ? -1.0 : byteSeconds(answers.front(), now);
    };
    return *std::max_element(
            m_classes.begin(), m_classes.end(),
            [&](const auto &left, const auto &right) { return weight(left) < weight(right); });
}

void RetainedAnswers::takeFirst(SizeClass &answers, std::vector<Answer> &taken)
{
    m_bytes -= answers.front().bytes;
    taken.push_back(std::move(answers.front()));
    answers.pop_front();
}

std::size_t RetainedAnswers::bytes() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_bytes;
}

std::uint64_t RetainedAnswers::evicted() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_evicted;
}

} // namespace anvilmill::daemon
