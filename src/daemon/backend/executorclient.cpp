#include "executorclient.h"

#include "connectionpool.h"
#include "log.h"

#include <executor.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <functional>
#include <thread>

namespace anvilmill::daemon {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using wire::executor::State;
using wire::executor::TaskOutcome;

std::string pathOf(const std::string &taskId)
{
    return "/v1/tasks/" + taskId;
}

Poco::Timespan asTimespan(Duration duration)
{
    return {std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

void send(ConnectionPool::Session &session, const std::string &method, const std::string &taskId,
          const std::string &body)
{
    HTTPRequest request(method, pathOf(taskId), HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
}

/// Reads one outcome. Returns std::nullopt if it is malformed or belongs to another task.
std::optional<TaskOutcome> receive(ConnectionPool::Session &session, const std::string &taskId)
{
    HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    auto outcome = document.get<TaskOutcome>();
    if (outcome.task != taskId)
        return std::nullopt;
    return outcome;
}

StartReport lost(std::string reason)
{
    return {StartOutcome::Lost, Verdict::MayHaveRun, "", std::move(reason)};
}

StartReport notStarted(std::string reason)
{
    return {StartOutcome::NotStarted, Verdict::NotRun, "", std::move(reason)};
}

std::optional<StartReport> finalReport(const TaskOutcome &outcome)
{
    switch (outcome.state) {
    case State::Done:
        return StartReport{StartOutcome::Done, Verdict::Ran, outcome.output.value_or(""), ""};
    case State::Failed:
        return StartReport{StartOutcome::Failed, Verdict::Ran, "",
                           outcome.reason.value_or("the executor reported a failure")};
    case State::NotRun:
        return notStarted(outcome.reason.value_or("the executor refused the start"));
    case State::Running:
    case State::Unknown:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

struct ExecutorClient::Shared
{
    explicit Shared(const BackendLimits &backendLimits)
        : limits(backendLimits)
        , pool(backendLimits)
    {
    }

    BackendLimits limits;
    ConnectionPool pool;
    std::atomic<std::uint64_t> starts{0};
    std::atomic<std::uint64_t> refusedStarts{0};
    std::atomic<std::uint64_t> queries{0};
    std::atomic<std::uint64_t> silentConnections{0};
};

/// The exchange of messages with one executor about one task.
class ExecutorClient::TaskExchange
{
public:
    TaskExchange(Shared &shared, std::string executor, std::string taskId)
        : m_shared(shared)
        , m_executor(std::move(executor))
        , m_taskId(std::move(taskId))
        , m_lastReply(std::chrono::steady_clock::now())
    {
    }

    StartReport run(const std::string &body)
    {
        std::optional<ConnectionPool::PooledConnection> connection =
                m_shared.pool.acquire(m_executor);
        if (!connection)
            return notStarted("no connection to " + m_executor);
        ++m_shared.starts;
        m_lastReply = std::chrono::steady_clock::now();
        try {
            send(connection->session(), HTTPRequest::HTTP_PUT, m_taskId, body);
            return await(*connection);
        } catch (const std::exception &exception) {
            return resolveByQueries(exception.what());
        }
    }

private:
    /// Waits for the reply on the first connection; sends queries on new ones while none arrives.
    StartReport await(ConnectionPool::PooledConnection &connection)
    {
        Duration interval = m_shared.limits.silence;
        while (!connection.session().socket().poll(asTimespan(interval),
                                                   Poco::Net::Socket::SELECT_READ)) {
            if (auto report = resolveByQuery())
                return recordSilence(*report);
            if (hasTimedOut())
                return lost("no reply about the task from " + m_executor);
            interval *= 2;
        }
        const auto outcome = receive(connection.session(), m_taskId);
        const auto report = outcome ? finalReport(*outcome) : std::nullopt;
        if (!report)
            return resolveByQueries("the reply is malformed or for another task");
        connection.markReusable();
        return *report;
    }

    StartReport recordSilence(StartReport report)
    {
        ++m_shared.silentConnections;
        LogEvent("backend.silent", LogEvent::Level::Warning)
                .with("executor", m_executor)
                .with("task", m_taskId);
        return report;
    }

    /// Queries the task by id until its outcome is final; used after the first connection was lost.
    StartReport resolveByQueries(const std::string &reason)
    {
        constexpr Duration FirstPause = std::chrono::milliseconds(20);
        for (Duration pause = FirstPause; !hasTimedOut(); pause *= 2) {
            if (auto report = resolveByQuery())
                return *report;
            if (m_failedConnects >= MaxFailedConnects)
                return lost(reason + "; " + m_executor + " accepts no connection");
            std::this_thread::sleep_for(std::min(pause, m_shared.limits.silence));
        }
        return lost(reason);
    }

    std::optional<StartReport> resolveByQuery()
    {
        const auto outcome = query(HTTPRequest::HTTP_GET);
        if (!outcome)
            return std::nullopt;
        m_lastReply = std::chrono::steady_clock::now();
        if (outcome->state != State::Unknown)
            return finalReport(*outcome);
        // The start request may still be in transit; DELETE prevents the task from starting later.
        const auto closed = query(HTTPRequest::HTTP_DELETE);
        return closed ? finalReport(*closed) : std::nullopt;
    }

    std::optional<TaskOutcome> query(const std::string &method)
    {
        auto connection = m_shared.pool.acquireNew(m_executor);
        m_failedConnects = connection ? 0 : m_failedConnects + 1;
        if (!connection)
            return std::nullopt;
        ++m_shared.queries;
        try {
            send(connection->session(), method, m_taskId, "");
            if (!connection->session().socket().poll(asTimespan(m_shared.limits.silence),
                                                     Poco::Net::Socket::SELECT_READ))
                return std::nullopt;
            auto outcome = receive(connection->session(), m_taskId);
            if (outcome)
                connection->markReusable();
            return outcome;
        } catch (const std::exception &) {
            return std::nullopt;
        }
    }

    [[nodiscard]] bool hasTimedOut() const
    {
        return std::chrono::steady_clock::now() - m_lastReply > m_shared.limits.giveUp;
    }

    static constexpr int MaxFailedConnects = 3;

    Shared &m_shared;
    std::string m_executor;
    std::string m_taskId;
    int m_failedConnects = 0;
    std::chrono::steady_clock::time_point m_lastReply;
};

ExecutorClient::ExecutorClient(const BackendLimits &limits)
    : m_shared(std::make_unique<Shared>(limits))
{
}

ExecutorClient::~ExecutorClient() = default;

StartReport ExecutorClient::run(const std::string &executor, const std::string &taskId,
                                const std::string &service, const std::string &payload)
{
    const nlohmann::json body = wire::executor::StartRequest{payload, service};
    StartReport report = TaskExchange(*m_shared, executor, taskId).run(body.dump());
    if (report.end == StartOutcome::NotStarted)
        ++m_shared->refusedStarts;
    return report;
}

void ExecutorClient::closeIdle(const std::string &executor)
{
    m_shared->pool.closeIdle(executor);
}

BackendCounters ExecutorClient::counters() const
{
    return {m_shared->starts, m_shared->refusedStarts, m_shared->queries,
            m_shared->silentConnections};
}

} // namespace anvilmill::daemon
