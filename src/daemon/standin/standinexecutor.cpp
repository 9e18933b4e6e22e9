#include "standinexecutor.h"

#include "requestbody.h"

#include "anvilmill/documentsize.h"

#include <executor.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace anvilmill::daemon {

namespace {

using namespace Poco::Net;
using TaskState = wire::executor::State;
using wire::executor::StartRequest;
using wire::executor::TaskOutcome;

constexpr const char *TaskPrefix = "/v1/tasks/";
/// The largest body that an entry host accepts from a caller by default, with each byte escaped.
constexpr std::size_t MaxBodyBytes = 16U << 20U;
constexpr DocumentLimits BodyLimits = {16, 1000};
constexpr std::size_t MaxBodiesBytes = 64U << 20U;
/// Names, payloads and outputs of ended tasks and of recorded starts; the oldest are forgotten.
constexpr std::size_t MaxRecordBytes = 64U << 20U;

Duration nominalRunTime(const std::string &payload)
{
    constexpr const char *Prefix = "sleep:";
    constexpr std::size_t PrefixLength = 6;
    if (payload.compare(0, PrefixLength, Prefix) != 0)
        return Duration::zero();
    const std::string digits =
            payload.substr(PrefixLength, payload.find(':', PrefixLength) - PrefixLength);
    double millis = 0;
    if (!Poco::NumberParser::tryParseFloat(digits, millis) || millis < 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

TaskOutcome outcomeOf(const std::string &task, TaskState state)
{
    TaskOutcome outcome;
    outcome.task = task;
    outcome.state = state;
    return outcome;
}

} // namespace

struct StandInExecutor::State
{
    ExecutorBehaviour behaviour;
    std::shared_ptr<ByteBudget> bodies = std::make_shared<ByteBudget>(MaxBodiesBytes);
    std::atomic<std::uint64_t> messages{0};
    mutable std::mutex lock;
    std::condition_variable wake;
    bool isKilled = false;
    int running = 0;
    std::map<std::string, TaskOutcome> tasks;
    /// Ended tasks in the order of their ends, with the bytes of each.
    std::deque<std::pair<std::string, std::size_t>> ended;
    std::size_t endedBytes = 0;
    std::deque<PerformedStart> starts;
    std::size_t startBytes = 0;
    StartObserver observer;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<HTTPServer> server;
    std::string name;

    /// Occupies a slot and records the start, or returns the outcome if the task is not started.
    std::optional<TaskOutcome> begin(const std::string &task, const std::string &payload)
    {
        const std::lock_guard<std::mutex> guard(lock);
        const auto known = tasks.find(task);
        if (known != tasks.end())
            return known->second;
        if (behaviour.refusesAll || running >= behaviour.slots)
            return outcomeOf(task, TaskState::NotRun);
        ++running;
        recordStart({task, payload});
        if (observer)
            observer(starts.back());
        tasks[task] = outcomeOf(task, TaskState::Running);
        return std::nullopt;
    }

    void recordStart(PerformedStart start)
    {
        startBytes += start.task.size() + start.payload.size();
        starts.push_back(std::move(start));
        while (startBytes > MaxRecordBytes && starts.size() > 1) {
            startBytes -= starts.front().task.size() + starts.front().payload.size();
            starts.pop_front();
        }
    }

    void recordEnd(const std::string &task, const TaskOutcome &outcome)
    {
        // The name is in the table, in the outcome and in the order.
        const std::size_t bytes = 3 * task.size() + outcome.output.value_or("").size();
        tasks[task] = outcome;
        ended.emplace_back(task, bytes);
        endedBytes += bytes;
        while (endedBytes > MaxRecordBytes) {
            endedBytes -= ended.front().second;
            tasks.erase(ended.front().first);
            ended.pop_front();
        }
    }

    /// Sleeps for the run time of the task. Returns false if the executor is killed before its end.
    bool sleepFor(Duration runTime)
    {
        std::unique_lock<std::mutex> guard(lock);
        return !wake.wait_for(guard, runTime, [this] { return isKilled; });
    }

    TaskOutcome perform(const std::string &task, const std::string &payload)
    {
        if (const auto known = begin(task, payload))
            return *known;
        TaskOutcome outcome = outcomeOf(task, TaskState::Done);
        if (behaviour.failsAll) {
            outcome.state = TaskState::Failed;
            outcome.reason = "this executor fails every task";
        } else {
            const Duration runTime = std::chrono::duration_cast<Duration>(nominalRunTime(payload)
                                                                          / behaviour.speed.load());
            sleepFor(runTime);
            outcome.output = payload;
            outcome.ranMs = std::chrono::duration<double, std::milli>(runTime).count();
        }
        const std::lock_guard<std::mutex> guard(lock);
        --running;
        recordEnd(task, outcome);
        return outcome;
    }

    TaskOutcome query(const std::string &task) const
    {
        const std::lock_guard<std::mutex> guard(lock);
        const auto known = tasks.find(task);
        return known == tasks.end() ? outcomeOf(task, TaskState::Unknown) : known->second;
    }

    /// Prevents a task that has not started from starting later.
    TaskOutcome preventStart(const std::string &task)
    {
        const std::lock_guard<std::mutex> guard(lock);
        const auto known = tasks.find(task);
        if (known != tasks.end())
            return known->second;
        TaskOutcome outcome = outcomeOf(task, TaskState::NotRun);
        recordEnd(task, outcome);
        return outcome;
    }

    void waitUntilKilled()
    {
        std::unique_lock<std::mutex> guard(lock);
        wake.wait(guard, [this] { return isKilled; });
    }
};

class StandInExecutor::Handler final : public HTTPRequestHandler
{
public:
    explicit Handler(State &state)
        : m_state(state)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        ++m_state.messages;
        const std::string prefix = TaskPrefix;
        if (request.getURI().compare(0, prefix.size(), prefix) != 0)
            return reply(response, HTTPResponse::HTTP_OK, "{}");
        const std::string task = request.getURI().substr(prefix.size());
        const TaskOutcome outcome = handleTask(request, response, task);
        if (request.getMethod() == HTTPRequest::HTTP_PUT && m_state.behaviour.isSilent)
            return m_state.waitUntilKilled();
        const auto status = outcome.state == TaskState::NotRun
                                    ? HTTPResponse::HTTP_SERVICE_UNAVAILABLE
                                    : HTTPResponse::HTTP_OK;
        reply(response, status, nlohmann::json(outcome).dump());
    }

private:
    TaskOutcome handleTask(HTTPServerRequest &request, HTTPServerResponse &response,
                           const std::string &task)
    {
        if (request.getMethod() == HTTPRequest::HTTP_GET)
            return m_state.query(task);
        if (request.getMethod() == HTTPRequest::HTTP_DELETE)
            return m_state.preventStart(task);
        ByteCharge charge(m_state.bodies);
        const RequestBody body = readBody(request.stream(), MaxBodyBytes, charge);
        // The rest of the body would be read as the next request.
        if (body.end != RequestBody::End::Complete)
            response.setKeepAlive(false);
        if (body.end != RequestBody::End::Complete
            || documentError(body.text, nlohmann::json::input_format_t::json, BodyLimits))
            return outcomeOf(task, TaskState::NotRun);
        const nlohmann::json document = nlohmann::json::parse(body.text);
        return m_state.perform(task, document.get<StartRequest>().payload);
    }

    static void reply(HTTPServerResponse &response, HTTPResponse::HTTPStatus status,
                      const std::string &body)
    {
        response.setStatusAndReason(status);
        response.setContentType("application/json");
        response.sendBuffer(body.data(), body.size());
    }

    State &m_state;
};

class StandInExecutor::Factory final : public HTTPRequestHandlerFactory
{
public:
    explicit Factory(State &state)
        : m_state(state)
    {
    }

    HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new Handler(m_state);
    }

private:
    State &m_state;
};

StandInExecutor::StandInExecutor(const std::string &address, int port, int threads)
    : m_state(std::make_unique<State>())
{
    const ServerSocket socket(SocketAddress(address, static_cast<Poco::UInt16>(port)));
    m_state->name = socket.address().toString();
    m_state->threads = std::make_unique<Poco::ThreadPool>(2, threads);
    auto *parameters = new HTTPServerParams;
    parameters->setMaxThreads(threads);
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    m_state->server = std::make_unique<HTTPServer>(new Factory(*m_state), *m_state->threads, socket,
                                                   parameters);
    m_state->server->start();
}

StandInExecutor::~StandInExecutor()
{
    kill();
    m_state->threads->joinAll();
}

std::string StandInExecutor::name() const
{
    return m_state->name;
}

ExecutorBehaviour &StandInExecutor::behaviour() noexcept
{
    return m_state->behaviour;
}

std::vector<PerformedStart> StandInExecutor::starts() const
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    return {m_state->starts.begin(), m_state->starts.end()};
}

void StandInExecutor::observeStarts(StartObserver observer)
{
    const std::lock_guard<std::mutex> guard(m_state->lock);
    m_state->observer = std::move(observer);
}

std::uint64_t StandInExecutor::messages() const noexcept
{
    return m_state->messages;
}

void StandInExecutor::kill()
{
    {
        const std::lock_guard<std::mutex> guard(m_state->lock);
        m_state->isKilled = true;
    }
    m_state->wake.notify_all();
    m_state->server->stopAll(true);
}

} // namespace anvilmill::daemon
