#include "clients.h"

#include <nlohmann/json.hpp>

namespace anvilmill::review {

namespace {

/// resend_ms of the small sites.
constexpr Duration ResendDelay = std::chrono::milliseconds(1300);
constexpr std::size_t Connections = 1000;
constexpr std::size_t MaxResponseSize = 1U << 16U;
constexpr const char *HostName = "desk.example";

std::string bodyOf(const Submission &submission)
{
    const nlohmann::json step = {{"count", submission.tasks},
                                 {"cpu", submission.milliCores},
                                 {"mem_mb", 64},
                                 {"estimate_ms", submission.millis}};
    return nlohmann::json{{"spec", std::to_string(submission.millis) + " "
                                           + std::to_string(submission.milliCores)},
                          {"best_effort", true},
                          {"steps", {step}}}
            .dump();
}

} // namespace

Clients::Clients(boost::asio::io_context &loop, daemon::TimerQueue &timers, Record &record,
                 const std::vector<std::string> &hosts)
    : m_timers(timers)
    , m_record(record)
{
    const daemon::HttpClientLimits limits{Connections, Connections, MaxResponseSize};
    for (const std::string &host : hosts)
        m_hosts.push_back(std::make_unique<daemon::HttpClient>(
                loop, timers, daemon::parseEndpoint(host).value(), limits));
}

void Clients::submit(const Submission &submission, std::size_t host, bool mayResend)
{
    ++m_submitted;
    ++m_open;
    send(submission, host, mayResend);
}

void Clients::send(const Submission &submission, std::size_t host, bool mayResend)
{
    const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(submission.wait).count();
    m_record.line("post job=" + submission.id + " host=" + std::to_string(host + 1)
                  + " waitMs=" + std::to_string(wait));
    const daemon::HttpCall call{"POST",
                                "/jobs/" + submission.id,
                                bodyOf(submission),
                                {{"Host", HostName}, {"X-Deadline-Ms", std::to_string(wait)}},
                                submission.wait};
    m_hosts[host]->send(call, [this, submission, host,
                               mayResend](const daemon::HttpCallResult &result) {
        m_record.line("answer job=" + submission.id + " host=" + std::to_string(host + 1)
                      + " status=" + std::to_string(result.status) + " body=" + result.body
                      + " reason=" + result.reason);
        ++m_answers[result.status];
        const bool isOpen = result.status == 0 || result.status == 502 || result.status == 504;
        if (!isOpen || !mayResend) {
            --m_open;
            return;
        }
        m_timers.after(ResendDelay,
                       [this, submission, host] { send(submission, otherThan(host), true); });
    });
}

std::size_t Clients::otherThan(std::size_t host)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const std::size_t other = m_next++ % m_hosts.size();
        if (other != host && m_down.count(other) == 0)
            return other;
    }
    return host;
}

} // namespace anvilmill::review
