#include "fleet.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

constexpr std::uint16_t StorePort = 28169;
constexpr std::uint16_t ClientPort = 28161;
constexpr std::uint16_t ReadyPort = 28167;
/// `heartbeat_ms`
constexpr std::int64_t HeartbeatMs = 1500;
/// `resend_ms`
constexpr std::int64_t ResendMs = 1300;

constexpr std::size_t MaxHosts = 64;
std::atomic<pid_t> hostProcesses[MaxHosts];

void killHosts() noexcept
{
    for (const auto &process : hostProcesses) {
        if (process > 0)
            ::kill(process, SIGKILL);
    }
}

void onTerminate(int)
{
    killHosts();
    ::_exit(2);
}

} // namespace

void pause(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Fleet::Fleet(Settings settings)
    : m_settings(std::move(settings))
    , m_record(m_settings.recordPath)
    , m_runs(m_record)
    , m_store(addressOf(1), StorePort)
{
    for (int i = 0; i < m_settings.executors; ++i) {
        Executor::Settings executor;
        executor.id = "x-" + std::to_string(i);
        executor.zone = "zone-" + std::to_string(i % m_settings.zones);
        executor.address = addressOf(2);
        executor.port = static_cast<std::uint16_t>(29000 + i);
        executor.cpu = m_settings.executorCpu;
        executor.rack = "r-" + std::to_string(i / 6);
        m_executors.push_back(std::make_unique<Executor>(executor, m_store, m_record, m_runs));
    }
    for (int i = 0; i < m_settings.hosts; ++i)
        m_hosts.push_back({"front-" + std::to_string(i), addressOf(10 + i), 0});
}

void Fleet::end(int status)
{
    stopLoad();
    killHosts();
    m_record.line("exit status " + std::to_string(status));
    // Threads of connections may still be at work.
    std::_Exit(status);
}

std::string Fleet::addressOf(int number) const
{
    return "127.0." + std::to_string(m_settings.network) + "." + std::to_string(number);
}

void Fleet::startHost(std::size_t number)
{
    Host &host = m_hosts.at(number);
    const std::string path = m_settings.folder + "/" + host.name + ".conf";
    std::ofstream(path) << "node=" << host.name
                        << "\nrole=entry\nclass=front\nserves=front\nip=" << host.address
                        << "\nzone=zone-" << number % static_cast<std::size_t>(m_settings.zones)
                        << "\nregion=region\nlisten.front=" << host.address << ":" << ClientPort
                        << "\nlisten.ready=" << host.address << ":" << ReadyPort
                        << "\ninternal_ports=27720,27735\nbootstrap=true\nlimits.cpu_share="
                        << m_settings.cpuShares[number % m_settings.cpuShares.size()]
                        << "\n"
                           "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
                           "limits.link_mbps=1000.0\nheartbeat_ms=1500\n"
                           "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
                           "bounds.grace_s=6\nbounds.config_apply_ms=2000\n"
                           "bounds.hold_max_ms=1000\nbounds.stop_ms=50\nbounds.cancel_ms=3000\n"
                           "bounds.status_s=120\nbounds.remote_slowdown=2\n"
                           "bounds.lease_ms=3000\nbounds.resend_ms=1300\norders=invoke\n"
                           "platform.address="
                        << addressOf(1) << ":" << StorePort
                        << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
                           "platform.reads_per_s=2000\nplatform.history_s=20\n"
                           "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    const std::string log = m_settings.folder + "/" + host.name + ".log";
    const std::string variable = "ANVILMILL_NODE_FILE=" + path;
    const pid_t process = ::fork();
    if (process == 0) {
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        ::execle(m_settings.program.c_str(), m_settings.program.c_str(), "machine",
                 static_cast<char *>(nullptr), environment);
        ::_exit(127);
    }
    host.process = process;
    hostProcesses[number] = process;
    m_record.line(host.name + " started");
}

void Fleet::signalHost(std::size_t number, int signal)
{
    Host &host = m_hosts.at(number);
    ::kill(host.process, signal);
    m_record.line(host.name + " gets signal " + std::to_string(signal));
    if (signal == SIGKILL) {
        ::waitpid(host.process, nullptr, 0);
        host.process = 0;
        hostProcesses[number] = 0;
    }
}

bool Fleet::start()
{
    ::signal(SIGTERM, onTerminate);
    ::signal(SIGINT, onTerminate);
    try {
        startPlatform();
    } catch (const std::exception &exception) {
        m_record.line(exception.what());
        return false;
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        startHost(i);
    for (const Host &host : m_hosts) {
        const std::int64_t end = nowMs() + 15000;
        while (call(host.address, ReadyPort, "GET", "/api/ready", "", 1000).status != 200) {
            if (nowMs() > end)
                return false;
            pause(100);
        }
    }
    pause(2000);
    m_record.line("all hosts are ready");
    return true;
}

void Fleet::startPlatform()
{
    m_store.put("op/config", json{{"version", 7},
                                  {"routes",
                                   {{{"name", "queue"},
                                     {"host", "desk.example"},
                                     {"prefix", "/queue/"},
                                     {"service", "desk"},
                                     {"priority", 0},
                                     {"max_attempts", 3},
                                     {"stretch", 1.6},
                                     {"target_duration_ms", 60},
                                     {"timeout_ms", 1500}}}},
                                  {"services", {{{"name", "desk"}}}}}
                                     .dump());
    m_store.open();
    for (const auto &executor : m_executors)
        executor->start();
    std::thread([this] {
        std::int64_t beat = nowMs();
        std::size_t written = 0;
        while (true) {
            pause(2);
            for (const auto &executor : m_executors)
                executor->tick();
            // Spread over the interval, as those of separate processes are.
            const auto due = static_cast<std::size_t>(
                    (nowMs() - beat) * static_cast<std::int64_t>(m_executors.size()) / HeartbeatMs);
            for (; written < due; ++written)
                m_executors[written % m_executors.size()]->writeEntry();
        }
    }).detach();
}

std::string Fleet::newId()
{
    const std::lock_guard lock(m_randomMutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
    return text;
}

Reply Fleet::submit(const Submission &job, std::size_t firstHost)
{
    const json body = {{"spec", std::to_string(job.workMs) + " " + std::to_string(job.cpu)},
                       {"best_effort", true},
                       {"steps",
                        {{{"count", job.tasks},
                          {"cpu", job.cpu},
                          {"mem_mb", 64},
                          {"estimate_ms", job.workMs}}}}};
    Reply reply;
    for (int attempt = 0; attempt <= job.retries; ++attempt) {
        const Host &host =
                m_hosts[(firstHost + static_cast<std::size_t>(attempt)) % m_hosts.size()];
        m_record.line("sent " + job.id + " to " + host.name);
        reply = call(host.address, ClientPort, "POST", "/queue/" + job.id, body.dump(),
                     static_cast<int>(attempt == 0 && job.resetAfterMs > 0 ? job.resetAfterMs
                                                                           : job.deadlineMs),
                     "X-Deadline-Ms: " + std::to_string(job.deadlineMs) + "\r\n");
        m_record.line("answer to " + job.id + ": " + std::to_string(reply.status) + " "
                      + reply.body);
        if (reply.status > 0 && reply.status != 502 && reply.status != 504)
            break;
        if (attempt < job.retries)
            pause(ResendMs);
    }
    if (reply.status == 200)
        ++m_accepted;
    else
        ++m_rejected;
    return reply;
}

void Fleet::startLoad(int clients, const Submission &job, std::size_t firstHost)
{
    m_isLoaded = true;
    for (int i = 0; i < clients; ++i) {
        ++m_clients;
        std::thread([this, i, job, firstHost] {
            std::size_t turn = static_cast<std::size_t>(i);
            while (m_isLoaded) {
                Submission next = job;
                next.id = newId();
                const std::size_t host = firstHost + turn++ % (m_hosts.size() - firstHost);
                if (submit(next, host).status != 200)
                    pause(100);
            }
            --m_clients;
        }).detach();
    }
}

void Fleet::stopLoad()
{
    m_isLoaded = false;
    for (int i = 0; i < 600 && m_clients > 0; ++i)
        pause(20);
}

} // namespace review
