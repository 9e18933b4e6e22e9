#include "batch/entryfeed.h"
#include "batch/mesh.h"
#include "fakes/fakeasyncstore.h"
#include "fakes/loopwait.h"
#include "fakes/unusedport.h"
#include "loop/prefixfollower.h"
#include "loop/timerqueue.h"

#include "anvilmill/randomsource.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::asText;
using anvilmill::tests::FakeAsyncStore;
using anvilmill::tests::FakeStoreContents;
using anvilmill::tests::unusedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Names[] = {"reader", "second", "third"};

} // namespace

/// Three dispatchers of a data centre, of which one reads the executors' entries for all.
class EntryFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryFeedTest);
    CPPUNIT_TEST(onlyTheReaderWatches);
    CPPUNIT_TEST(newsReachTheOthersAtOnce);
    CPPUNIT_TEST(othersWatchWhileTheReaderIsCutOff);
    CPPUNIT_TEST(othersWatchWhileTheReaderIsGone);
    CPPUNIT_TEST(missedNewsAreRead);
    CPPUNIT_TEST(removedExecutorStaysAwayWhenTheReaderChanges);
    CPPUNIT_TEST(stoppedFollowerStartsFromNothing);
    CPPUNIT_TEST(slowReadIsNotBegunAgainByEachTelling);
    CPPUNIT_TEST(newsToldDuringAReadAreNotLost);
    CPPUNIT_TEST(newsGoOnThroughARelay);
    CPPUNIT_TEST(relayReadsForItsListenersWhileItsSourceIsGone);
    CPPUNIT_TEST(listenersOfARelayWatchWhenTheReaderKnowsNothingRecent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        m_contents = std::make_shared<FakeStoreContents>();
        m_contents->put("servers/e1", "ready");
        m_contents->put("servers/e2", "ready");
        for (const char *const name : Names) {
            m_hosts[name] = std::make_unique<Host>();
            m_addresses[name] = unusedEndpoint();
        }
        for (const char *const name : Names)
            open(name);
        setReaders({"reader", "second", "third"});
        beat();
        waitFor([this] { return isFed("second") && isFed("third"); });
    }

    void tearDown() override
    {
        m_hosts.clear();
        m_timers->clear();
        m_timers.reset();
        m_loop.reset();
    }

    void onlyTheReaderWatches()
    {
        const int second = m_hosts["second"]->store->watches();
        const int reader = m_hosts["reader"]->store->watches();
        runFor(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(second, m_hosts["second"]->store->watches());
        CPPUNIT_ASSERT(m_hosts["reader"]->store->watches() > reader);
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), m_hosts["second"]->entries["servers/e1"]);
    }

    void newsReachTheOthersAtOnce()
    {
        const int watches = m_hosts["third"]->store->watches();
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
        CPPUNIT_ASSERT_EQUAL(watches, m_hosts["third"]->store->watches());
    }

    void othersWatchWhileTheReaderIsCutOff()
    {
        m_hosts["reader"]->store->setCut(true);
        runFor(milliseconds(1600));
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), m_hosts["reader"]->entries["servers/e1"]);
        // Heard with a fresh answer again, the reader is trusted again.
        m_hosts["reader"]->store->setCut(false);
        waitFor([this] { return hasNews("reader"); });
        runFor(milliseconds(600));
        waitFor([this] { return isFed("second"); });
    }

    void othersWatchWhileTheReaderIsGone()
    {
        m_hosts["reader"].reset();
        runFor(milliseconds(1600));
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
    }

    void missedNewsAreRead()
    {
        m_hosts["reader"]->mesh->setHosts({});
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("reader"); });
        runFor(milliseconds(400));
        connect("reader");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
    }

    void removedExecutorStaysAwayWhenTheReaderChanges()
    {
        m_hosts["second"]->store->setCut(true);
        setReaders({"second", "third", "reader"});
        m_contents->remove("servers/e2");
        m_contents->put("servers/e1", "draining");
        m_contents->put("servers/e3", "ready");
        runFor(milliseconds(300));
        // The new reader knows less than the store says; what the others read themselves stays.
        waitFor([this] { return hasNews("third"); });
        m_hosts["second"]->store->setCut(false);
        waitFor([this] { return hasNews("second") && hasNews("reader"); });
        runFor(milliseconds(600));
        CPPUNIT_ASSERT(hasNews("third"));
    }

    void stoppedFollowerStartsFromNothing()
    {
        Host &host = *m_hosts["third"];
        host.follower->stop();
        host.entries.clear();
        m_contents->remove("servers/e2");
        m_contents->put("servers/e1", "draining");
        m_contents->put("servers/e3", "ready");
        runFor(milliseconds(400));
        CPPUNIT_ASSERT(host.entries.empty());
        host.follower->start();
        waitFor([this] { return hasNews("third"); });
    }

    // Load: a hundred dispatchers that start at once read three thousand entries each, which takes the
    // store's link for seconds, while the reader tells each of them that they have missed something.
    void slowReadIsNotBegunAgainByEachTelling()
    {
        restartFollower("third", milliseconds(900));
        waitFor([this] { return !m_hosts["third"]->entries.empty(); });
        CPPUNIT_ASSERT(m_hosts["third"]->store->reads() <= 2);
    }

    void newsToldDuringAReadAreNotLost()
    {
        restartFollower("third", milliseconds(900));
        runFor(milliseconds(300));
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return !m_hosts["third"]->entries.empty(); });
        waitFor([this] { return hasNews("third"); });
        CPPUNIT_ASSERT(m_hosts["third"]->store->reads() <= 2);
    }

    void newsGoOnThroughARelay()
    {
        setChain();
        const int second = m_hosts["second"]->store->watches();
        const int third = m_hosts["third"]->store->watches();
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
        runFor(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(second, m_hosts["second"]->store->watches());
        CPPUNIT_ASSERT_EQUAL(third, m_hosts["third"]->store->watches());
    }

    void relayReadsForItsListenersWhileItsSourceIsGone()
    {
        setChain();
        const int third = m_hosts["third"]->store->watches();
        m_hosts["reader"].reset();
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("second") && hasNews("third"); });
        waitFor([this] { return isFed("third"); });
        // Once it has read what it missed itself at most.
        CPPUNIT_ASSERT(m_hosts["third"]->store->watches() <= third + 3);
    }

    void listenersOfARelayWatchWhenTheReaderKnowsNothingRecent()
    {
        setChain();
        m_hosts["reader"]->store->setCut(true);
        m_hosts["second"]->store->setCut(true);
        m_contents->put("servers/e1", "draining");
        m_contents->remove("servers/e2");
        m_contents->put("servers/e3", "ready");
        waitFor([this] { return hasNews("third"); });
        CPPUNIT_ASSERT(!hasNews("second"));
    }

private:
    struct Host
    {
        std::unique_ptr<FakeAsyncStore> store;
        std::unique_ptr<Mesh> mesh;
        std::unique_ptr<PrefixFollower> follower;
        std::unique_ptr<EntryFeed> feed;
        std::map<std::string, std::string> entries;
    };

    void open(const std::string &name)
    {
        Host &host = *m_hosts[name];
        const boost::asio::ip::tcp::endpoint &address = m_addresses.at(name);
        host.store = std::make_unique<FakeAsyncStore>(*m_timers, m_contents);
        host.mesh =
                std::make_unique<Mesh>(*m_loop, *m_timers, name, address,
                                       MeshEvents{[&host](const wire::meshframe::MeshFrame &frame) {
                                                      host.feed->received(frame);
                                                  },
                                                  [](const std::string &) {}});
        connect(name);
        openFollower(host, name);
    }

    void openFollower(Host &host, const std::string &name)
    {
        host.follower = std::make_unique<PrefixFollower>(
                *host.store, *m_timers, m_random, "servers/", FollowPace{},
                [&host](const std::vector<StoreItem> &changes) { take(host, changes); });
        host.feed =
                std::make_unique<EntryFeed>(*host.mesh, *m_timers, m_clock, *host.follower, name);
        host.follower->start();
    }

    /// As when the host's process starts.
    void restartFollower(const std::string &name, Duration readTime)
    {
        Host &host = *m_hosts[name];
        host.follower->stop();
        host.entries.clear();
        host.store = std::make_unique<FakeAsyncStore>(*m_timers, m_contents);
        host.store->setReadTime(readTime);
        host.feed.reset();
        openFollower(host, name);
        host.feed->setPlan({"reader", {}});
    }

    static void take(Host &host, const std::vector<StoreItem> &changes)
    {
        std::vector<StoreItem> news;
        for (const StoreItem &item : changes) {
            if (item.key == "servers/beat")
                continue;
            news.push_back(item);
            if (item.isRemoved)
                host.entries.erase(item.key);
            else
                host.entries[item.key] = item.value;
        }
        host.feed->followed(news);
    }

    void connect(const std::string &name)
    {
        std::vector<PeerHost> others;
        for (const auto &[other, address] : m_addresses) {
            if (other != name)
                others.push_back({other, "dc", asText(address), false});
        }
        m_hosts[name]->mesh->setHosts(others);
    }

    /// The first host reads for the others.
    void setReaders(const std::vector<std::string> &names)
    {
        m_hosts[names.front()]->feed->setPlan({"", {names.begin() + 1, names.end()}});
        for (std::size_t i = 1; i < names.size(); ++i)
            m_hosts[names[i]]->feed->setPlan({names.front(), {}});
    }

    /// The reader tells the second host, which tells the third.
    void setChain()
    {
        m_hosts["reader"]->feed->setPlan({"", {"second"}});
        m_hosts["second"]->feed->setPlan({"reader", {"third"}});
        m_hosts["third"]->feed->setPlan({"second", {}});
        runFor(milliseconds(600));
        waitFor([this] { return isFed("second") && isFed("third"); });
    }

    /// Executors write entries now and then that say nothing new.
    void beat()
    {
        m_contents->put("servers/beat", std::to_string(m_contents->revision));
        m_timers->after(milliseconds(100), [this] { beat(); });
    }

    /// True once a host has stopped watching the store.
    bool isFed(const std::string &name)
    {
        const int watches = m_hosts[name]->store->watches();
        runFor(milliseconds(300));
        return watches == m_hosts[name]->store->watches()
               && m_hosts[name]->entries.count("servers/e1") > 0;
    }

    bool hasNews(const std::string &name)
    {
        const auto &entries = m_hosts[name]->entries;
        return entries.count("servers/e1") > 0 && entries.at("servers/e1") == "draining"
               && entries.count("servers/e2") == 0 && entries.count("servers/e3") > 0;
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        CPPUNIT_ASSERT(tests::runUntil(*m_loop, isMet, seconds(10)));
    }

    void runFor(Duration time) { m_loop->run_for(time); }

    SystemClock m_clock;
    SeededRandom m_random{7};
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::shared_ptr<FakeStoreContents> m_contents;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    std::map<std::string, boost::asio::ip::tcp::endpoint> m_addresses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFeedTest);
