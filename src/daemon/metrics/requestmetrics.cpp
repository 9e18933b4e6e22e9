#include "requestmetrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace anvilmill::daemon {

namespace {

namespace acc = boost::accumulators;

using ResponseTimes =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                                acc::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};
constexpr std::size_t ShardCount = 8;
constexpr std::size_t VerdictCount = 3;
/// Bounds the memory use; further services of a shard are counted as "other".
constexpr std::size_t MaxServicesPerShard = 64;
constexpr const char *OtherServices = "other";

struct ServiceStatistics
{
    ResponseTimes seconds{acc::tag::extended_p_square::probabilities = Quantiles};
    std::array<std::uint64_t, VerdictCount> failures{};
};

void appendLine(std::string &text, const std::string &name, const std::string &labels, double value)
{
    std::ostringstream line;
    line << name << labels << ' ' << value << '\n';
    text += line.str();
}

void appendService(std::string &text, const std::string &service,
                   const ServiceStatistics &statistics)
{
    const std::string label = "service=\"" + service + "\"";
    const std::string name = "anvilmill_job_response_seconds";
    const auto count = static_cast<double>(acc::count(statistics.seconds));
    for (std::size_t i = 0; i < Quantiles.size() && count > 0; ++i) {
        std::ostringstream labels;
        labels << "{" << label << ",quantile=\"" << Quantiles[i] << "\"}";
        appendLine(text, name, labels.str(), acc::extended_p_square(statistics.seconds)[i]);
    }
    appendLine(text, name + "_sum", "{" + label + "}", acc::sum(statistics.seconds));
    appendLine(text, name + "_count", "{" + label + "}", count);
    if (count > 0)
        appendLine(text, name + "_max", "{" + label + "}", acc::max(statistics.seconds));
    for (std::size_t i = 0; i < VerdictCount; ++i) {
        const std::string verdict(asString(static_cast<Verdict>(i)));
        appendLine(text, "anvilmill_jobs_failed_total",
                   "{" + label + ",verdict=\"" + verdict + "\"}",
                   static_cast<double>(statistics.failures[i]));
    }
}

} // namespace

struct RequestMetrics::Shard
{
    mutable std::mutex lock;
    std::map<std::string, ServiceStatistics> services;

    ServiceStatistics &statisticsOf(const std::string &service)
    {
        const auto found = services.find(service);
        if (found != services.end())
            return found->second;
        return services.size() < MaxServicesPerShard ? services[service] : services[OtherServices];
    }
};

RequestMetrics::RequestMetrics()
{
    m_shards.reserve(ShardCount);
    for (std::size_t i = 0; i < ShardCount; ++i)
        m_shards.push_back(std::make_unique<Shard>());
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::record(const std::string &service, Duration response,
                            std::optional<Verdict> failure)
{
    Shard &shard = *m_shards[std::hash<std::string>()(service) % ShardCount];
    const std::lock_guard<std::mutex> guard(shard.lock);
    ServiceStatistics &statistics = shard.statisticsOf(service);
    if (failure)
        ++statistics.failures[static_cast<std::size_t>(*failure)];
    else
        statistics.seconds(std::chrono::duration<double>(response).count());
}

void RequestMetrics::append(std::string &text) const
{
    text += "# TYPE anvilmill_job_response_seconds summary\n"
            "# TYPE anvilmill_jobs_failed_total counter\n";
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        for (const auto &[service, statistics] : shard->services)
            appendService(text, service, statistics);
    }
}

void appendLimits(std::string &text, const LimitReport &limits)
{
    const std::string name = "anvilmill_clients_limited_total";
    text += "# TYPE " + name + " counter\n";
    for (const auto &[cause, count] : limits.counts())
        appendLine(text, name, "{port=\"" + limits.port() + "\",cause=\"" + cause + "\"}",
                   static_cast<double>(count));
}

void appendMetric(std::string &text, const std::string &name, const std::string &type, double value)
{
    text += "# TYPE " + name + " " + type + "\n";
    appendLine(text, name, "", value);
}

} // namespace anvilmill::daemon
