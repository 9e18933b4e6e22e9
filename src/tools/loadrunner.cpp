#include "loadrunner.h"

#include "anvilmill/history/bodydigest.h"

#include <algorithm>
#include <atomic>
#include <caller.h>
#include <iostream>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <random>
#include <thread>

namespace anvilmill::tools {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Steady = std::chrono::steady_clock;

constexpr Duration LateSendThreshold = std::chrono::milliseconds(10);
constexpr const char *ConnectionLost = "connectionLost";

/// One request of the schedule.
struct PlannedRequest
{
    const PlannedJob *job = nullptr;
    std::size_t number = 0;
    int attempt = 1;
    Duration at{};
};

std::vector<PlannedRequest> requestsOf(const std::vector<PlannedJob> &plan)
{
    std::vector<PlannedRequest> requests;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        requests.push_back({&plan[i], i, 1, plan[i].arrival});
        if (plan[i].resubmission)
            requests.push_back({&plan[i], i, 2, *plan[i].resubmission});
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return requests;
}

struct Reply
{
    int status = 0;
    std::string body;
};

/// The HTTP sessions of one thread, one for each target.
class TargetSessions
{
public:
    explicit TargetSessions(const LoadTargets &targets)
    {
        for (const std::string &address : targets.addresses) {
            auto session = std::make_unique<Poco::Net::HTTPClientSession>(
                    Poco::Net::SocketAddress(address));
            session->setKeepAlive(true);
            session->setTimeout(Poco::Timespan(
                    std::chrono::duration_cast<std::chrono::microseconds>(targets.timeout)
                            .count()));
            m_sessions.push_back(std::move(session));
        }
    }

    /// Returns status 0 if the connection failed or timed out.
    Reply send(std::size_t target, const std::string &method, const std::string &path,
               const std::string &key, const std::string &body)
    {
        Poco::Net::HTTPClientSession &session = *m_sessions[target % m_sessions.size()];
        try {
            HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
            request.setContentType("application/json");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            if (!key.empty())
                request.set("Idempotency-Key", key);
            session.sendRequest(request) << body;
            HTTPResponse response;
            Reply reply;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
            reply.status = response.getStatus();
            return reply;
        } catch (const std::exception &) {
            session.reset();
            return {};
        }
    }

private:
    std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> m_sessions;
};

class LoadRun
{
public:
    LoadRun(const std::vector<PlannedJob> &plan, const LoadTargets &targets, HistorySink *history)
        : m_targets(targets)
        , m_history(history)
        , m_requests(requestsOf(plan))
        , m_prefix("load-" + std::to_string(std::random_device()()) + "-")
        , m_start(Steady::now())
    {
    }

    void work()
    {
        TargetSessions sessions(m_targets);
        for (std::size_t i = m_next++; i < m_requests.size(); i = m_next++)
            perform(sessions, m_requests[i]);
    }

    void showProgress() const
    {
        while (m_collector.requestsEnded() < m_requests.size()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            if (++m_polls % 10 == 0)
                std::cerr << m_polls / 10 << " s: " << m_collector.requestsEnded() << " of "
                          << m_requests.size() << " requests ended\n";
        }
    }

    [[nodiscard]] const LoadCollector &collector() const { return m_collector; }
    [[nodiscard]] Duration elapsed() const { return Steady::now() - m_start; }
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }

private:
    [[nodiscard]] std::string keyOf(const PlannedRequest &request) const
    {
        return m_prefix + std::to_string(request.number);
    }

    [[nodiscard]] std::vector<std::string> payloadsOf(const PlannedRequest &request) const
    {
        std::vector<std::string> payloads;
        for (std::size_t i = 0; i < request.job->tasks.size(); ++i)
            payloads.push_back(
                    loadPayload(request.job->tasks[i], keyOf(request) + "-" + std::to_string(i)));
        return payloads;
    }

    [[nodiscard]] std::string bodyOf(const PlannedRequest &request,
                                     const std::vector<std::string> &payloads) const
    {
        wire::caller::JobRequest body;
        body.service = m_targets.service;
        if (!m_targets.team.empty())
            body.team = m_targets.team;
        body.notRepeatable = request.job->isNotRepeatable;
        body.wait = !request.job->cancellation;
        body.deadlineMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(m_targets.timeout).count();
        for (const std::string &payload : payloads) {
            wire::caller::TaskSpec task;
            task.payload = payload;
            body.tasks.push_back(task);
        }
        return nlohmann::json(body).dump();
    }

    void perform(TargetSessions &sessions, const PlannedRequest &request)
    {
        std::this_thread::sleep_until(m_start + request.at);
        LoadSample sample;
        sample.wasSentLate = elapsed() - request.at > LateSendThreshold;
        sample.isFirstAttempt = request.attempt == 1;
        sample.wasCancelled = request.job->cancellation.has_value();
        sample.tasks = request.job->tasks.size();
        sample.ideal = request.job->ideal(m_targets.slots);
        const std::vector<std::string> payloads = payloadsOf(request);
        recordInvoke(request, payloads);
        const std::size_t target =
                request.job->target + static_cast<std::size_t>(request.attempt - 1);
        Reply reply = sessions.send(target, "POST", "/v1/jobs", keyOf(request),
                                    bodyOf(request, payloads));
        if (reply.status == HTTPResponse::HTTP_ACCEPTED)
            reply = cancelAndAwaitAnswer(sessions, target, request, reply);
        sample.response = elapsed() - request.at;
        sample.outcome = outcomeOf(request, payloads, reply);
        m_collector.add(sample);
    }

    /// Cancels the job at the planned time, if there is one, and requests the final answer.
    Reply cancelAndAwaitAnswer(TargetSessions &sessions, std::size_t target,
                               const PlannedRequest &request, const Reply &accepted)
    {
        const auto status = nlohmann::json::parse(accepted.body, nullptr, false);
        if (!status.is_object() || !status.contains("submission"))
            return accepted;
        const std::string path = "/v1/jobs/" + status.value("submission", "");
        if (request.job->cancellation) {
            std::this_thread::sleep_until(m_start + *request.job->cancellation);
            record(request, HistoryEventKind::Cancel);
            sessions.send(target, "DELETE", path, "", "");
        }
        return sessions.send(target, "GET", path + "/answer", "", "");
    }

    std::string outcomeOf(const PlannedRequest &request, const std::vector<std::string> &payloads,
                          const Reply &reply)
    {
        if (reply.status == 0) {
            record(request, HistoryEventKind::ConnectionLost);
            return ConnectionLost;
        }
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        try {
            if (reply.status == HTTPResponse::HTTP_OK)
                return answered(request, payloads, body.get<wire::caller::JobAnswer>());
            return refused(request, body.get<wire::caller::Problem>());
        } catch (const std::exception &) {
            record(request, HistoryEventKind::ConnectionLost);
            return "unknown";
        }
    }

    std::string answered(const PlannedRequest &request, const std::vector<std::string> &payloads,
                         wire::caller::JobAnswer answer)
    {
        std::sort(answer.tasks.begin(), answer.tasks.end(),
                  [](const auto &left, const auto &right) { return left.index < right.index; });
        BodyDigest digest;
        std::vector<std::string> outputs;
        for (const auto &task : answer.tasks) {
            digest.add(task.output);
            outputs.push_back(task.output);
        }
        HistoryEvent event = eventOf(request, HistoryEventKind::Answer);
        event.taskCount = static_cast<std::int64_t>(outputs.size());
        event.digest = digest.asString();
        record(event);
        return outputs == payloads ? "answered" : "wrongAnswer";
    }

    std::string refused(const PlannedRequest &request, const wire::caller::Problem &problem)
    {
        HistoryEvent event = eventOf(request, HistoryEventKind::Refuse);
        const std::string verdict = nlohmann::json(problem.verdict).get<std::string>();
        event.verdict = nlohmann::json(verdict).get<wire::history::Verdict>();
        record(event);
        return request.job->cancellation ? "cancelled" : verdict;
    }

    void recordInvoke(const PlannedRequest &request, const std::vector<std::string> &payloads)
    {
        BodyDigest digest;
        for (const std::string &payload : payloads)
            digest.add(payload);
        HistoryEvent event = eventOf(request, HistoryEventKind::Invoke);
        event.taskCount = static_cast<std::int64_t>(payloads.size());
        event.digest = digest.asString();
        event.notRepeatable = request.job->isNotRepeatable;
        record(event);
    }

    [[nodiscard]] HistoryEvent eventOf(const PlannedRequest &request, HistoryEventKind kind) const
    {
        HistoryEvent event;
        event.actor = "load";
        event.event = kind;
        event.submission = keyOf(request);
        event.attempt = request.attempt;
        return event;
    }

    void record(const PlannedRequest &request, HistoryEventKind kind)
    {
        record(eventOf(request, kind));
    }

    void record(const HistoryEvent &event)
    {
        if (m_history)
            m_history->record(event);
    }

    const LoadTargets &m_targets;
    HistorySink *m_history;
    std::vector<PlannedRequest> m_requests;
    std::string m_prefix;
    Steady::time_point m_start;
    std::atomic<std::size_t> m_next{0};
    mutable int m_polls = 0;
    LoadCollector m_collector;
};

} // namespace

LoadResult runLoad(const LoadSettings &settings, const std::vector<PlannedJob> &plan,
                   const LoadTargets &targets, HistorySink *history)
{
    LoadRun run(plan, targets, history);
    std::vector<std::thread> threads;
    const std::size_t count = std::min(targets.connections, run.requests());
    threads.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        threads.emplace_back([&run] { run.work(); });
    run.showProgress();
    for (std::thread &thread : threads)
        thread.join();
    return run.collector().result(settings, targets.addresses, run.elapsed());
}

} // namespace anvilmill::tools
