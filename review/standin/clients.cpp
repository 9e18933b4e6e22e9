#include "clients.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

using anvilmill::daemon::HttpCall;
using anvilmill::daemon::HttpClient;
using anvilmill::daemon::HttpOutcome;
using nlohmann::json;

const char *const RouteHost = "desk.example";

namespace {

constexpr Duration ReadinessInterval = std::chrono::seconds(1);
constexpr int MissesUntilRemoved = 2;
constexpr std::size_t MaxResponse = 1U << 16U;

std::string asText(const HttpCallResult &result)
{
    if (result.outcome == HttpOutcome::ResponseReceived)
        return "status=" + std::to_string(result.status) + " body=" + result.body;
    return "noResponse=\"" + result.reason + "\"";
}

} // namespace

Clients::Clients(boost::asio::io_context &loop, anvilmill::daemon::TimerQueue &timers,
                 Record &record, std::vector<Host> hosts)
    : m_loop(loop)
    , m_timers(timers)
    , m_record(record)
    , m_hosts(std::move(hosts))
    , m_misses(m_hosts.size(), MissesUntilRemoved)
{
}

Clients::~Clients() = default;

void Clients::checkReadiness()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        checkHost(i);
    m_timers.after(ReadinessInterval, [this] { checkReadiness(); });
}

void Clients::checkHost(std::size_t host)
{
    HttpCall call;
    call.target = "/api/ready";
    call.timeout = ReadinessInterval - std::chrono::milliseconds(50);
    send(m_hosts[host].ready, call, [this, host](const HttpCallResult &result) {
        m_misses[host] = result.status == 200 ? 0 : m_misses[host] + 1;
    });
}

std::size_t Clients::readyHosts() const
{
    return static_cast<std::size_t>(std::count(m_misses.begin(), m_misses.end(), 0));
}

std::size_t Clients::hostFor(const std::string &zone, std::size_t client,
                             std::optional<std::size_t> excluded) const
{
    std::vector<std::size_t> inZone;
    std::vector<std::size_t> inRotation;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].zone != zone)
            continue;
        inZone.push_back(i);
        if (m_misses[i] < MissesUntilRemoved)
            inRotation.push_back(i);
    }
    std::vector<std::size_t> used = inRotation.size() * 2 < inZone.size() ? inZone : inRotation;
    if (excluded && used.size() > 1)
        used.erase(std::remove(used.begin(), used.end(), *excluded), used.end());
    return used[client % used.size()];
}

void Clients::send(const std::string &address, HttpCall call, Handler handler)
{
    const std::uint64_t number = ++m_last;
    auto client = std::make_unique<HttpClient>(
            m_loop, m_timers, *anvilmill::daemon::parseEndpoint(address),
            anvilmill::daemon::HttpClientLimits{1, 1, MaxResponse});
    HttpClient &opened = *client;
    m_open[number] = std::move(client);
    opened.send(std::move(call), [this, number, handler](const HttpCallResult &result) {
        handler(result);
        // The client object can't be destroyed in its own handler.
        m_timers.post([this, number] { m_open.erase(number); });
    });
}

void Clients::submit(const JobRequest &job, std::size_t host, Handler handler)
{
    std::string spec;
    for (const int millis : job.workMillis)
        spec += (spec.empty() ? "" : " ") + std::to_string(millis);
    const json step = {{"count", job.workMillis.size()},
                       {"cpu", job.milliCores},
                       {"mem_mb", 64},
                       {"estimate_ms", job.estimateMillis}};
    const json body = {{"spec", spec}, {"best_effort", true}, {"steps", json::array({step})}};
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(job.wait).count();
    HttpCall call{"POST",
                  "/" + job.kind + "/" + job.id,
                  body.dump(),
                  {{"Host", RouteHost}, {"X-Deadline-Ms", std::to_string(wait)}},
                  job.wait};
    m_record.line("post job=" + job.id + " host=" + m_hosts[host].name + " tasks="
                  + std::to_string(job.workMillis.size()) + " waitMs=" + std::to_string(wait));
    send(m_hosts[host].front, std::move(call), [this, job, host, handler](const auto &result) {
        m_record.line("postAnswered job=" + job.id + " host=" + m_hosts[host].name + " "
                      + asText(result));
        handler(result);
    });
}

void Clients::cancel(const JobRequest &job, std::size_t host, const std::string &address,
                     Handler handler)
{
    HttpCall call{"DELETE",
                  "/" + job.kind + "/" + job.id,
                  "",
                  {{"Host", RouteHost}},
                  std::chrono::seconds(2)};
    m_record.line("delete job=" + job.id + " host=" + m_hosts[host].name
                  + (address.empty() ? "" : " through=" + address));
    send(address.empty() ? m_hosts[host].front : address, std::move(call),
         [this, job, host, handler](const auto &result) {
             m_record.line("deleteAnswered job=" + job.id + " host=" + m_hosts[host].name + " "
                           + asText(result));
             handler(result);
         });
}

} // namespace review
