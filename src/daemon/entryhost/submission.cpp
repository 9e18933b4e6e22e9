#include "submission.h"

namespace anvilmill::daemon {

namespace {

/// One caller asks for the answer, perhaps again after a timeout.
constexpr std::size_t MaxCallbacks = 100;
/// A callback with the request of a peer.
constexpr std::size_t CallbackBytes = 1024;

} // namespace

Submission::Submission(JobNumber number, std::shared_ptr<const JobSpec> spec,
                       SubmissionRequest request, MonotonicTime arrival,
                       std::unique_ptr<ByteCharge> charge)
    : m_number(number)
    , m_spec(std::move(spec))
    , m_request(std::move(request))
    , m_arrival(arrival)
    , m_charge(std::move(charge))
{
}

void Submission::end(const JobOutcome &outcome, MonotonicTime now)
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_outcome)
            return;
        m_outcome = outcome;
        m_endTime = now;
        m_charge.reset();
        callbacks.swap(m_callbacks);
    }
    m_ended.notify_all();
    for (const auto &callback : callbacks)
        callback();
}

bool Submission::whenEnded(std::function<void()> callback)
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (!m_outcome) {
            if (m_callbacks.size() >= MaxCallbacks || (m_charge && !m_charge->add(CallbackBytes)))
                return false;
            m_callbacks.push_back(std::move(callback));
            return true;
        }
    }
    callback();
    return true;
}

bool Submission::wasNotRun() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_outcome && m_outcome->verdict == Verdict::NotRun;
}

bool Submission::isOpenFor(std::uint32_t attempt) const
{
    return wasNotRun() && attempt > m_request.attempt;
}

std::optional<JobOutcome> Submission::wait(Duration timeout) const
{
    std::unique_lock<std::mutex> guard(m_lock);
    m_ended.wait_for(guard, timeout, [this] { return m_outcome.has_value(); });
    return m_outcome;
}

std::optional<JobOutcome> Submission::outcome() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_outcome;
}

std::optional<MonotonicTime> Submission::endTime() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_endTime;
}

} // namespace anvilmill::daemon
