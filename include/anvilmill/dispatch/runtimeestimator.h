#pragma once

#include "anvilmill/clock.h"

#include <optional>
#include <vector>

namespace anvilmill {

/// \brief Estimates the run time of each service and the speed of each executor from past runs.
///
/// A run time is modelled as the service's work divided by the executor's speed. Both are tracked
/// as logarithms with a variance, so that a new service or executor converges within tens of
/// observations and neither estimate absorbs changes of the other. Residuals are clipped, which
/// limits the effect of stragglers. Declared run times are used for a service only while they
/// predict its run times better than the learned median does.
///
/// The owner assigns the indexes of services and executors. Thread safety: one thread at a time.
class RunTimeEstimator
{
public:
    /// \brief Records the run time of a successful task of \p service on \p executor.
    void record(std::size_t service, std::size_t executor, Duration runTime,
                std::optional<Duration> declared = std::nullopt);

    /// \brief Returns the expected run time of a task on an executor of speed 1.
    [[nodiscard]] Duration work(std::size_t service,
                                std::optional<Duration> declared = std::nullopt) const;

    /// \brief Returns the speed of \p executor; the mean speed if it has no observations.
    [[nodiscard]] double speed(std::size_t executor) const;

    /// \brief Returns the mean work of recent tasks of all services, including stragglers.
    [[nodiscard]] Duration meanWork() const;

    [[nodiscard]] bool isLearned(std::size_t service) const;

private:
    /// A logarithm with the variance of its error.
    struct Estimate
    {
        double value = 0.0;
        double variance = 0.0;
        std::size_t observations = 0;
    };
    struct Service
    {
        Estimate logWork;
        double medianError = 0.0;
        double declaredError = 0.0;
        std::size_t declaredObservations = 0;
    };

    Service &serviceAt(std::size_t service, std::optional<Duration> declared);
    Estimate &executorAt(std::size_t executor);
    [[nodiscard]] bool usesDeclared(const Service &service) const;
    static void updateEstimate(Estimate &estimate, double gain, double residual);
    static void recordDeclared(Service &service, double logWork, Duration declared);

    std::vector<Service> m_services;
    std::vector<Estimate> m_executors;
    double m_meanLogSpeed = 0.0;
    double m_meanWorkSeconds = 0.0;
    std::size_t m_observations = 0;
};

} // namespace anvilmill
