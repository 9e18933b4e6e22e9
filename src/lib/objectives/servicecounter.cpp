#include "servicecounter.h"

namespace anvilmill {

namespace {

// A step is the window divided by a number of parts. The fine steps resolve the shortest window of
// the alert rules.
constexpr int FineParts = 17280;
constexpr std::size_t FineSteps = 290;
constexpr int CoarseParts = 288;
constexpr std::size_t CoarseSteps = 290;
constexpr int CauseParts = 24;
constexpr std::size_t CauseSteps = 25;
constexpr std::int64_t CoarseStepsPerPoint = 4;
constexpr std::size_t CauseLimit = 24;
constexpr double MedianShare = 0.5;
constexpr double HighShare = 0.99;

// The P-square estimate of a quantile needs this many samples.
constexpr std::size_t MinQuantileSamples = 5;

namespace accumulators = boost::accumulators;

std::int64_t asMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Length of a step, rounded up to whole milliseconds so that the steps of all hosts are aligned.
Duration stepLength(Duration window, int parts)
{
    return std::chrono::ceil<std::chrono::milliseconds>(window / parts);
}

wire::objectives::Verdict asWire(const std::optional<Verdict> &failure)
{
    if (!failure)
        return wire::objectives::Verdict::Answered;
    switch (*failure) {
    case Verdict::NotRun:
        return wire::objectives::Verdict::NotRun;
    case Verdict::Ran:
        return wire::objectives::Verdict::Ran;
    case Verdict::MayHaveRun:
        break;
    }
    return wire::objectives::Verdict::MayHaveRun;
}

} // namespace

ObjectiveRecorder::Service::Service(ServiceObjective objective)
    : m_objective(std::move(objective))
    , m_fine(stepLength(m_objective.window, FineParts), FineSteps)
    , m_coarse(stepLength(m_objective.window, CoarseParts), CoarseSteps)
    , m_median(accumulators::quantile_probability = MedianShare)
    , m_p99(accumulators::quantile_probability = HighShare)
{
}

void ObjectiveRecorder::Service::setObjective(const ServiceObjective &objective)
{
    const bool isNewWindow = objective.window != m_objective.window;
    m_objective = objective;
    if (isNewWindow)
        reset();
}

void ObjectiveRecorder::Service::reset()
{
    m_fine = CountRing(stepLength(m_objective.window, FineParts), FineSteps);
    m_coarse = CountRing(stepLength(m_objective.window, CoarseParts), CoarseSteps);
    m_causes.clear();
}

void ObjectiveRecorder::Service::record(WallTime now, const RequestEnd &request)
{
    const bool isAnswered = !request.failure;
    const bool isGood = isAnswered && request.responseTime <= m_objective.latency;
    m_fine.add(now, isGood);
    m_coarse.add(now, isGood);
    if (!isGood)
        recordCause(now, request);
    if (!isAnswered)
        return;
    const std::chrono::duration<double, std::milli> response = request.responseTime;
    m_median(response.count());
    m_p99(response.count());
}

void ObjectiveRecorder::Service::recordCause(WallTime now, const RequestEnd &request)
{
    CauseKey key{request.failure ? std::string(request.cause) : "slow", request.failure};
    if (m_causes.size() >= CauseLimit && m_causes.count(key) == 0)
        key.first = "other";
    const CountRing empty(stepLength(m_objective.window, CauseParts), CauseSteps);
    m_causes.try_emplace(key, empty).first->second.add(now, false);
}

double ObjectiveRecorder::Service::valueOf(const Quantile &quantile)
{
    const std::size_t samples = accumulators::count(quantile);
    if (samples == 0)
        return 0;
    return samples < MinQuantileSamples ? accumulators::max(quantile)
                                        : accumulators::p_square_quantile(quantile);
}

RequestCounts ObjectiveRecorder::Service::sum(WallTime now, Duration length) const
{
    const bool isShort = length <= m_fine.span();
    return (isShort ? m_fine : m_coarse).sum(now, length);
}

wire::objectives::ServiceCounts ObjectiveRecorder::Service::counts(WallTime now) const
{
    wire::objectives::ServiceCounts counts;
    counts.service = m_objective.service;
    counts.objective = m_objective.objective;
    counts.latencyMs = asMilliseconds(m_objective.latency);
    counts.windowMs = asMilliseconds(m_objective.window);
    counts.medianMs = valueOf(m_median);
    counts.p99Ms = valueOf(m_p99);
    for (const int part : burnWindowParts()) {
        const Duration length = m_objective.window / part;
        const RequestCounts found = sum(now, length);
        counts.windows.push_back({static_cast<std::int64_t>(found.bad),
                                  static_cast<std::int64_t>(found.good), asMilliseconds(length)});
    }
    counts.causes = causes(now);
    counts.series = series(now);
    return counts;
}

std::vector<wire::objectives::CauseCount> ObjectiveRecorder::Service::causes(WallTime now) const
{
    std::vector<wire::objectives::CauseCount> found;
    for (const auto &[key, ring] : m_causes) {
        const auto count = static_cast<std::int64_t>(ring.sum(now, m_objective.window).bad);
        if (count > 0)
            found.push_back({key.first, count, asWire(key.second)});
    }
    return found;
}

wire::objectives::Series ObjectiveRecorder::Service::series(WallTime now) const
{
    wire::objectives::Series series;
    const std::int64_t last = m_coarse.indexOf(now) / CoarseStepsPerPoint;
    const std::int64_t first = last - CoarseParts / CoarseStepsPerPoint + 1;
    series.stepMs = asMilliseconds(m_coarse.step() * CoarseStepsPerPoint);
    series.firstMs = last * series.stepMs;
    for (std::int64_t point = first; point <= last; ++point) {
        RequestCounts total;
        for (std::int64_t i = 0; i < CoarseStepsPerPoint; ++i) {
            const RequestCounts counts = m_coarse.at(point * CoarseStepsPerPoint + i);
            total.good += counts.good;
            total.bad += counts.bad;
        }
        const bool isLeadingEmpty = series.good.empty() && total.good + total.bad == 0;
        if (isLeadingEmpty)
            continue;
        if (series.good.empty())
            series.firstMs = point * series.stepMs;
        series.good.push_back(static_cast<std::int64_t>(total.good));
        series.bad.push_back(static_cast<std::int64_t>(total.bad));
    }
    return series;
}

} // namespace anvilmill
