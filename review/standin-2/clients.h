#pragma once

#include "record.h"

#include "loop/httpclient.h"
#include "loop/timerqueue.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::review {

/// \brief One job that a client submits: \p tasks tasks of \p millis each.
struct Submission
{
    std::string id;
    int tasks = 1;
    std::int64_t millis = 0;
    std::int64_t milliCores = 0;
    /// How long the client waits for a response.
    Duration wait{};
};

/// \brief Clients that submit best-effort jobs as PROTOCOL.md says.
///
/// After no response, a broken connection, a 502 or a 504, a client sends the job again 1.3 s later, to another
/// host.
///
/// Thread safety: only to be used on the event loop's thread.
class Clients
{
public:
    /// Precondition: the references outlive the object.
    Clients(boost::asio::io_context &loop, daemon::TimerQueue &timers, Record &record,
            const std::vector<std::string> &hosts);

    /// \brief Submits a job to a host; resubmits it, if \p mayResend, until it has an answer.
    void submit(const Submission &submission, std::size_t host, bool mayResend = true);

    /// \brief Sends nothing to the host from now on, since the platform doesn't.
    void setDown(std::size_t host) { m_down.insert(host); }

    [[nodiscard]] std::size_t open() const noexcept { return m_open; }
    [[nodiscard]] std::size_t submitted() const noexcept { return m_submitted; }
    /// \brief The answers by status; 0 for a connection that ended without one.
    [[nodiscard]] const std::map<unsigned, std::size_t> &answers() const noexcept
    {
        return m_answers;
    }

private:
    void send(const Submission &submission, std::size_t host, bool mayResend);
    [[nodiscard]] std::size_t otherThan(std::size_t host);

    daemon::TimerQueue &m_timers;
    Record &m_record;
    std::vector<std::unique_ptr<daemon::HttpClient>> m_hosts;
    std::set<std::size_t> m_down;
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::size_t m_submitted = 0;
    std::map<unsigned, std::size_t> m_answers;
};

} // namespace anvilmill::review
