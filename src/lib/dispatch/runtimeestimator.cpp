#include "anvilmill/dispatch/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

constexpr double DefaultWorkSeconds = 0.2;
constexpr double MinWorkSeconds = 1e-4;
/// Variances of natural logarithms.
constexpr double InitialWorkVariance = 4.0;
constexpr double InitialSpeedVariance = 0.5;
constexpr double ObservationVariance = 0.2;
constexpr double DriftVariance = 2e-5;
/// Residuals are clipped at this many standard deviations.
constexpr double MaxResidualDeviations = 2.5;
constexpr double ErrorGain = 0.05;
constexpr double MeanGain = 0.002;
constexpr std::size_t MinDeclaredObservations = 10;
/// Declared run times are used while their error is below this fraction of the median's error.
constexpr double MaxDeclaredErrorRatio = 0.8;
constexpr std::size_t MinLearnedObservations = 5;

double logSeconds(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    return std::log(std::max(seconds, MinWorkSeconds));
}

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void RunTimeEstimator::record(std::size_t service, std::size_t executor, Duration runTime,
                              std::optional<Duration> declared)
{
    Service &entry = serviceAt(service, declared);
    Estimate &speed = executorAt(executor);
    const double logRunTime = logSeconds(runTime);
    const double logWork = logRunTime + speed.value;
    entry.medianError += ErrorGain * (std::abs(logWork - entry.logWork.value) - entry.medianError);
    if (declared)
        recordDeclared(entry, logWork, *declared);

    const double variance = entry.logWork.variance + speed.variance + ObservationVariance;
    const double bound = MaxResidualDeviations * std::sqrt(variance);
    const double residual =
            std::clamp(logRunTime - (entry.logWork.value - speed.value), -bound, bound);
    const double before = speed.value;
    updateEstimate(entry.logWork, entry.logWork.variance / variance, residual);
    updateEstimate(speed, speed.variance / variance, -residual);
    m_meanLogSpeed += (speed.value - before) / static_cast<double>(m_executors.size());

    const double gain = std::max(MeanGain, 1.0 / static_cast<double>(++m_observations));
    m_meanWorkSeconds += gain * (std::exp(logWork) - m_meanWorkSeconds);
}

Duration RunTimeEstimator::work(std::size_t service, std::optional<Duration> declared) const
{
    if (service >= m_services.size() || m_services[service].logWork.observations == 0)
        return declared.value_or(asDuration(DefaultWorkSeconds));
    const Service &entry = m_services[service];
    if (declared && usesDeclared(entry))
        return *declared;
    return asDuration(std::exp(entry.logWork.value));
}

double RunTimeEstimator::speed(std::size_t executor) const
{
    if (executor >= m_executors.size() || m_executors[executor].observations == 0)
        return std::exp(m_meanLogSpeed);
    return std::exp(m_executors[executor].value);
}

Duration RunTimeEstimator::meanWork() const
{
    return asDuration(m_observations > 0 ? m_meanWorkSeconds : DefaultWorkSeconds);
}

bool RunTimeEstimator::isLearned(std::size_t service) const
{
    return service < m_services.size()
           && m_services[service].logWork.observations >= MinLearnedObservations;
}

RunTimeEstimator::Service &RunTimeEstimator::serviceAt(std::size_t service,
                                                       std::optional<Duration> declared)
{
    if (service >= m_services.size())
        m_services.resize(service + 1);
    Service &entry = m_services[service];
    if (entry.logWork.observations == 0) {
        entry.logWork.value = declared ? logSeconds(*declared) : std::log(DefaultWorkSeconds);
        entry.logWork.variance = InitialWorkVariance;
    }
    return entry;
}

RunTimeEstimator::Estimate &RunTimeEstimator::executorAt(std::size_t executor)
{
    while (m_executors.size() <= executor)
        m_executors.push_back({m_meanLogSpeed, InitialSpeedVariance, 0});
    return m_executors[executor];
}

bool RunTimeEstimator::usesDeclared(const Service &service) const
{
    return service.declaredObservations >= MinDeclaredObservations
           && service.declaredError < MaxDeclaredErrorRatio * service.medianError;
}

void RunTimeEstimator::updateEstimate(Estimate &estimate, double gain, double residual)
{
    estimate.value += gain * residual;
    estimate.variance = estimate.variance * (1.0 - gain) + DriftVariance;
    ++estimate.observations;
}

void RunTimeEstimator::recordDeclared(Service &service, double logWork, Duration declared)
{
    const double error = std::abs(logWork - logSeconds(declared));
    ++service.declaredObservations;
    const double gain =
            std::max(ErrorGain, 1.0 / static_cast<double>(service.declaredObservations));
    service.declaredError += gain * (error - service.declaredError);
}

} // namespace anvilmill
