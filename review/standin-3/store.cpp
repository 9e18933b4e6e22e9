#include "store.h"

#include "record.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

constexpr auto AnswerTime = std::chrono::milliseconds(4);

const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8U
                   | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j <= text.size() ? Digits[bits >> (18 - 6 * j) & 63U] : '=';
    }
    return result;
}

std::string itemText(const std::string &key, const std::string &base64, std::uint64_t revision,
                     std::uint64_t created, std::uint64_t lease)
{
    return json{{"key", key},
                {"value", base64},
                {"rev", revision},
                {"created", created},
                {"lease", lease}}
            .dump();
}

} // namespace

Store::Store(const std::string &address, std::uint16_t port)
    : m_server(address, port, [this](const Request &request) { return handle(request); })
{
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    write(key, toBase64(value), 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

void Store::downUntil(std::int64_t time)
{
    const std::lock_guard lock(m_mutex);
    m_downUntil = time;
}

std::string Store::textOf(const std::string &key, const Item &item) const
{
    return itemText(key, item.value, item.revision, item.created, item.lease);
}

void Store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    if (item.created == 0)
        item.created = m_revision;
    item.lease = lease;
    m_events.push_back({key, m_revision, textOf(key, item)});
    m_changed.notify_all();
}

void Store::erase(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_events.push_back(
            {key, m_revision, json{{"key", key}, {"rev", m_revision}, {"tombstone", true}}.dump()});
    m_changed.notify_all();
}

void Store::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.end > nowMs()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            erase(key);
        lease = m_leases.erase(lease);
    }
}

Answer Store::handle(const Request &request)
{
    std::this_thread::sleep_for(AnswerTime);
    {
        const std::lock_guard lock(m_mutex);
        if (nowMs() < m_downUntil)
            return {};
        expireLeases();
    }
    if (request.path == "/api/kv-range")
        return range(request);
    if (request.path == "/api/kv-watch")
        return watch(request);
    if (request.path == "/api/kv-txn")
        return transact(request);
    return lease(request);
}

Answer Store::range(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string prefix = request.query.at("prefix");
    std::string items;
    for (auto item = m_items.lower_bound(prefix);
         item != m_items.end() && item->first.compare(0, prefix.size(), prefix) == 0; ++item)
        items += (items.empty() ? "" : ",") + textOf(item->first, item->second);
    return {200, R"({"items":[)" + items + R"(],"has_more":false,"at":)"
                         + std::to_string(m_revision) + "}"};
}

Answer Store::watch(const Request &request)
{
    const std::string prefix = request.query.at("prefix");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const std::int64_t end = nowMs() + std::stoll(request.query.at("wait_ms"));
    std::unique_lock lock(m_mutex);
    while (true) {
        std::string events;
        for (const Event &event : m_events) {
            if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0)
                events += (events.empty() ? "" : ",") + event.item;
        }
        if (!events.empty() || nowMs() >= end)
            return {200,
                    R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}"};
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
        expireLeases();
    }
}

Answer Store::transact(const Request &request)
{
    const json call = json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    json current = json::array();
    bool holds = true;
    for (const json &row : call.value("expected_rev", json::array())) {
        const std::string key = row.is_array() ? row.at(0) : row.at("key");
        const std::uint64_t revision = row.is_array() ? row.at(1) : row.at("rev");
        const auto item = m_items.find(key);
        holds = holds && (item == m_items.end() ? 0 : item->second.revision) == revision;
        if (item != m_items.end())
            current.push_back(json::parse(textOf(key, item->second)));
    }
    if (!holds)
        return {412, json{{"items", current}}.dump()};
    for (const json &put : call.value("puts", json::array())) {
        const std::uint64_t lease = put.value("lease", std::uint64_t{});
        if (lease != 0 && m_leases.count(lease) == 0)
            return {404, "{}"};
    }
    for (const json &put : call.value("puts", json::array()))
        write(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{}));
    for (const json &key : call.value("remove", json::array()))
        erase(key);
    return {200, json{{"rev", m_revision}}.dump()};
}

Answer Store::lease(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    if (request.path == "/api/kv-lease") {
        const std::int64_t ttl = json::parse(request.body).at("ttl_ms");
        m_leases[++m_lastLease] = {ttl, nowMs() + ttl};
        return {200, json{{"lease", m_lastLease}, {"ttl_ms", ttl}}.dump()};
    }
    const std::size_t slash = request.path.rfind('/');
    const auto lease = m_leases.find(std::strtoull(request.path.c_str() + slash + 1, nullptr, 10));
    if (lease == m_leases.end())
        return {404, "{}"};
    if (request.path.compare(0, slash, "/api/kv-keep") == 0) {
        lease->second.end = nowMs() + lease->second.ttl;
        return {200, json{{"lease", lease->first}, {"ttl_ms", lease->second.ttl}}.dump()};
    }
    lease->second.end = 0;
    expireLeases();
    return {200, "{}"};
}

} // namespace review
