#pragma once

#include "httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// \brief The platform's store, with an answer time of 4 ms. Thread-safe.
class Store
{
public:
    Store(const std::string &address, std::uint16_t port);

    void open() { m_server.open(); }

    /// A write by the operator or an executor.
    void put(const std::string &key, const std::string &value);

    /// A removal by the platform.
    void remove(const std::string &key);

    /// Calls of the hosts get no answer and are not carried out until then (ms of nowMs()).
    void downUntil(std::int64_t time);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::string item;
    };

    struct Lease
    {
        std::int64_t ttl = 0;
        std::int64_t end = 0;
    };

    Answer handle(const Request &request);
    Answer range(const Request &request);
    Answer watch(const Request &request);
    Answer transact(const Request &request);
    Answer lease(const Request &request);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void expireLeases();
    std::string textOf(const std::string &key, const Item &item) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1000;
    std::uint64_t m_lastLease = 0;
    std::int64_t m_downUntil = 0;
    HttpServer m_server;
};

} // namespace review
