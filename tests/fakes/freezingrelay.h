#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace anvilmill::test {

/// \brief TCP proxy whose freeze() permanently stops forwarding on the open connections.
///
/// A frozen connection stays open and discards all data, while new connections work. This simulates
/// a middlebox that has lost its state of a connection.
class FreezingRelay
{
public:
    explicit FreezingRelay(std::string target)
        : m_target(std::move(target))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_acceptor([this] { accept(); })
    {
    }

    ~FreezingRelay()
    {
        m_isStopped = true;
        m_acceptor.join();
        for (auto &pair : m_pairs)
            pair->thread.join();
    }

    [[nodiscard]] std::string address() const { return m_listener.address().toString(); }

    void freeze() { ++m_freezes; }

private:
    struct Pair
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        int freezesAtStart = 0;
        std::thread thread;
    };

    void accept()
    {
        while (!m_isStopped) {
            if (!m_listener.poll(m_pollStep, Poco::Net::Socket::SELECT_READ))
                continue;
            m_pairs.push_back(std::make_unique<Pair>());
            Pair &pair = *m_pairs.back();
            pair.client = m_listener.acceptConnection();
            pair.server.connect(Poco::Net::SocketAddress(m_target));
            pair.freezesAtStart = m_freezes;
            pair.thread = std::thread([this, &pair] { forward(pair); });
        }
    }

    void forward(Pair &pair)
    {
        try {
            while (!m_isStopped && copy(pair, pair.client, pair.server)
                   && copy(pair, pair.server, pair.client)) {
            }
        } catch (const Poco::Exception &) {
            // An error of one connection ends only the thread of that connection.
        }
        if (pair.freezesAtStart == m_freezes) {
            pair.client.close();
            pair.server.close();
        }
    }

    bool copy(const Pair &pair, Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to) const
    {
        if (!from.poll(m_pollStep, Poco::Net::Socket::SELECT_READ))
            return true;
        char buffer[4096];
        const int count = from.receiveBytes(buffer, sizeof buffer);
        if (count <= 0)
            return false;
        if (pair.freezesAtStart == m_freezes)
            to.sendBytes(buffer, count);
        return true;
    }

    const Poco::Timespan m_pollStep{0, 1'000};
    const std::string m_target;
    Poco::Net::ServerSocket m_listener;
    std::atomic<int> m_freezes{0};
    std::atomic<bool> m_isStopped{false};
    std::list<std::unique_ptr<Pair>> m_pairs;
    std::thread m_acceptor;
};

} // namespace anvilmill::test
