#include "anvilmill/objectives/objectiverecorder.h"

#include "servicecounter.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace anvilmill {

namespace {

constexpr std::size_t ShardCount = 16;
constexpr std::size_t ServicesPerShard = 64;
// In a shorter window, rounding the steps up to whole milliseconds would distort the shortest
// window of the alert rules.
constexpr Duration MinWindow = std::chrono::seconds(60);
const std::string OtherService = "other";

} // namespace

struct ObjectiveRecorder::Shard
{
    mutable std::mutex lock;
    std::unordered_map<std::string, ServiceObjective> objectives;
    std::unordered_map<std::string, Service> services;
};

ObjectiveRecorder::ObjectiveRecorder(const Clock &clock, ServiceObjective fallback)
    : m_clock(clock)
    , m_fallback(std::move(fallback))
    , m_started(clock.now())
{
    for (std::size_t i = 0; i < ShardCount; ++i)
        m_shards.push_back(std::make_unique<Shard>());
}

ObjectiveRecorder::~ObjectiveRecorder() = default;

ObjectiveRecorder::Shard &ObjectiveRecorder::shardOf(std::string_view service) const
{
    return *m_shards[std::hash<std::string_view>()(service) % m_shards.size()];
}

Duration ObjectiveRecorder::shortestWindow() noexcept
{
    return MinWindow;
}

void ObjectiveRecorder::setObjectives(const std::vector<ServiceObjective> &objectives)
{
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        shard->objectives.clear();
        for (const ServiceObjective &objective : objectives)
            if (&shardOf(objective.service) == shard.get())
                shard->objectives[objective.service] = objective;
        for (auto &[name, service] : shard->services) {
            const auto found = shard->objectives.find(name);
            ServiceObjective next = found == shard->objectives.end() ? m_fallback : found->second;
            next.service = name;
            service.setObjective(next);
        }
    }
}

void ObjectiveRecorder::record(const RequestEnd &request)
{
    Shard &shard = shardOf(request.service);
    const std::lock_guard<std::mutex> guard(shard.lock);
    std::string name(request.service);
    const bool isFull = shard.services.size() >= ServicesPerShard;
    if (isFull && shard.services.count(name) == 0)
        name = OtherService;
    auto service = shard.services.find(name);
    if (service == shard.services.end()) {
        const auto found = shard.objectives.find(name);
        ServiceObjective objective = found == shard.objectives.end() ? m_fallback : found->second;
        objective.service = name;
        service = shard.services.try_emplace(name, objective).first;
    }
    service->second.record(m_clock.wallNow(), request);
}

HostObjectives ObjectiveRecorder::snapshot(const std::string &host) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const WallTime now = m_clock.wallNow();
    HostObjectives counts;
    counts.host = host;
    counts.timeMs = duration_cast<milliseconds>(now.time_since_epoch()).count();
    counts.coveredMs = duration_cast<milliseconds>(m_clock.now() - m_started).count();
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        for (const auto &entry : shard->services)
            counts.services.push_back(entry.second.counts(now));
    }
    return counts;
}

} // namespace anvilmill
