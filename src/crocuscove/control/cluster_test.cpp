#include "crocuscove/control/cluster.h"

#include "crocuscove/http/socket_testing.h"
#include "crocuscove/storage/temporary_folder.h"

#include <gtest/gtest.h>
#include <netinet/in.h>

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;

constexpr auto ownAddress = "127.0.0.1";
constexpr auto peerAddress = "127.0.0.2";
constexpr int mutatedConnections = 400;

std::uint16_t freePort()
{
    http::EventLoop loop;
    return link::FrameListener(loop, { ownAddress, 0 }, link::FrameOptions {}, nullptr).port();
}

class ClusterConnectionTest : public testing::Test {
protected:
    ClusterConnectionTest()
    {
        m_options.listen = { ownAddress, 1 };
        m_options.internalPort = freePort();
        m_options.seeds = { { ownAddress, 1 }, { peerAddress, 1 } };
        m_options.isFirstStart = true;
        m_options.dataFolder = m_folder.path("data");
        m_hooks.onApplied = [](const std::vector<jobs::Command>&) {};
        m_hooks.onServing = [](bool) {};
        m_hooks.onRequest = [](const ForwardedRequest&, const std::function<void(ForwardedAnswer)>&) {};
    }

    void start() { m_cluster.emplace(m_loop, m_options, m_log, m_random, m_hooks); }

    /// Connects to the cluster's node, keeps what it sends and whether it closes the connection.
    std::unique_ptr<link::FrameConnection> connect()
    {
        link::FrameHooks hooks;
        hooks.onFrame = [this](std::string_view frame) { m_received.push_back(decodeNodeMessage(frame)); };
        hooks.onClosed = [this](std::string_view) { ++m_closed; };
        return link::FrameConnection::connect(
            m_loop, { ownAddress, m_options.internalPort }, link::FrameOptions {}, std::move(hooks));
    }

    storage::TemporaryFolder m_folder;
    http::EventLoop m_loop;
    ControlOptions m_options;
    base::Log m_log { base::LogLevel::Error };
    base::Random m_random { 1 };
    ClusterHooks m_hooks;
    std::vector<NodeMessage> m_received;
    int m_closed = 0;
    std::optional<Cluster> m_cluster;
};

// Guards against a node that connects to whatever text a peer gave as its address, and ends with that.
TEST_F(ClusterConnectionTest, APeerWithAnUnusableAddressIsRefused)
{
    start();
    const auto hello = connect();
    hello->send(encodeNodeMessage(Hello { "n2", "nowhere" }));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_closed == 1; }));
    const auto other = connect();
    other->send(encodeNodeMessage(ViewRequest {}));
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_received.empty(); }));
}

// Guards against a leader that ends when it admits a peer under a name that is no node id.
TEST_F(ClusterConnectionTest, APeerThatAnswersWithAnUnusableNameIsRefused)
{
    std::vector<std::unique_ptr<link::FrameConnection>> accepted;
    int closed = 0;
    const link::FrameListener peer(
        m_loop, { peerAddress, m_options.internalPort }, link::FrameOptions {}, [&](auto connection) {
            link::FrameHooks hooks;
            hooks.onClosed = [&](std::string_view) { ++closed; };
            connection->setHooks(std::move(hooks));
            connection->send(encodeNodeMessage(Hello { "Not An Id", peerAddress }));
            accepted.push_back(std::move(connection));
        });
    start();
    EXPECT_TRUE(runUntil(m_loop, [&] { return closed >= 2; }));
}

// Guards against a peer that is never connected to again because its connection stays open without an answer.
TEST_F(ClusterConnectionTest, APeerThatAcceptsButNeverAnswersIsConnectedToAgain)
{
    std::vector<std::unique_ptr<link::FrameConnection>> accepted;
    const link::FrameListener peer(m_loop, { peerAddress, m_options.internalPort }, link::FrameOptions {},
        [&](auto connection) { accepted.push_back(std::move(connection)); });
    start();
    EXPECT_TRUE(runUntil(m_loop, [&] { return accepted.size() >= 2; }));
}

// Guards against addresses of replaced nodes that fill the table of peers, so that no later node is ever connected to.
TEST_F(ClusterConnectionTest, ANewNodeIsConnectedToBesideManyThatWereReplaced)
{
    constexpr int replacedNodes = 100;
    constexpr auto newAddress = "127.0.0.3";
    m_options.seeds = { { ownAddress, 1 } };
    start();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_cluster->isServing(); }));
    const auto connection = connect();
    for (int node = 0; node < replacedNodes; ++node) {
        const std::string name = "old" + std::to_string(node);
        const std::string address = "127.0.1." + std::to_string(node);
        m_cluster->propose(jobs::RecordNode { name, address }, nullptr);
        connection->send(encodeNodeMessage(Hello { name, address }));
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_cluster->state().nodes().contains("old99"); }));
    bool isConnected = false;
    const link::FrameListener newNode(
        m_loop, { newAddress, m_options.internalPort }, link::FrameOptions {}, [&](auto) { isConnected = true; });
    connection->send(encodeNodeMessage(Hello { "new", newAddress }));
    EXPECT_TRUE(runUntil(m_loop, [&] { return isConnected; }));
}

// Guards against a request that ends one leader after another, since entry nodes send it again to the next one.
TEST_F(ClusterConnectionTest, AnErrorInTheHandlingOfARequestIsAnswered)
{
    m_hooks.onRequest = [](const ForwardedRequest&, const std::function<void(ForwardedAnswer)>&) {
        throw std::runtime_error("the handler failed");
    };
    start();
    const auto connection = connect();
    connection->send(encodeNodeMessage(ForwardedRequest { 7, "GET", "h", "/", "" }));
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_received.empty(); }));
    const auto* answer = std::get_if<ForwardedAnswer>(&m_received.front());
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->id, 7U);
    EXPECT_EQ(answer->outcome, ForwardOutcome::Answered);
    EXPECT_EQ(answer->status, 500U);
}

// Guards against a node that leads again and whose order overtakes one that it sent in an earlier term.
TEST_F(ClusterConnectionTest, AVmIsOrderedAgainOnceTheOrderOfAnEarlierTermHasArrived)
{
    constexpr base::Milliseconds lease { 3'000 };
    constexpr base::Milliseconds onItsWay { 500 };
    m_options.seeds = { { ownAddress, 1 } };
    m_options.name = "control-1";
    start();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_cluster->isServing(); }));
    bool isRecorded = false;
    m_cluster->recordVmOrder("vm-1", [&](bool mayOrder) { isRecorded = mayOrder; });
    ASSERT_TRUE(runUntil(m_loop, [&] { return isRecorded; }));
    m_cluster.reset();
    m_options.isFirstStart = false;
    const auto restartedAt = base::monotonicNow();
    start();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_cluster->isServing(); }));
    EXPECT_FALSE(m_cluster->mayOrderVm("vm-1", lease, restartedAt + onItsWay / 2));
    EXPECT_TRUE(m_cluster->mayOrderVm("vm-1", lease, base::monotonicNow() + onItsWay));
    EXPECT_TRUE(m_cluster->mayOrderVm("vm-2", lease, restartedAt));
}

// Guards against a large command, such as one from a large message, that has the commands of the same turn refused.
TEST_F(ClusterConnectionTest, ACommandThatIsTooLargeDoesNotHaveTheOthersRefused)
{
    bool isServing = false;
    m_hooks.onServing = [&](bool value) { isServing = value; };
    m_options.seeds = { { ownAddress, 1 } };
    start();
    ASSERT_TRUE(runUntil(m_loop, [&] { return isServing; }));
    std::map<std::string, ProposalOutcome> outcomes;
    const auto propose = [&](const std::string& vm, std::size_t bytes) {
        m_cluster->propose(jobs::RecordVmOrder { vm, std::string(bytes, 'x') },
            [&outcomes, vm](ProposalOutcome outcome) { outcomes[vm] = outcome; });
    };
    propose("a", 1);
    propose("b", consensus::maxEntryBytes * 2 / 3);
    propose("c", consensus::maxEntryBytes * 2 / 3);
    propose("d", consensus::maxEntryBytes + 1);
    propose("e", 1);
    ASSERT_TRUE(runUntil(m_loop, [&] { return outcomes.size() == 5; }));
    for (const char* vm : { "a", "b", "c", "e" }) {
        EXPECT_EQ(outcomes.at(vm), ProposalOutcome::Applied) << vm;
    }
    EXPECT_EQ(outcomes.at("d"), ProposalOutcome::NotExecuted);
}

/// The bytes of one frame on the wire.
std::string framed(const std::string& payload)
{
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
    return std::string(reinterpret_cast<const char*>(&length), sizeof(length)) + payload;
}

/// Messages of every kind, as a peer "n2" would send them to `node`.
std::vector<std::string> everyMessage(const std::string& node)
{
    const auto consensusFrame = [&](consensus::MessageBody body) {
        const consensus::Message message { base::NodeId("n2"), base::NodeId(node), 1, std::move(body) };
        return encodeNodeMessage(ConsensusFrame { consensus::encodeMessage(message) });
    };
    return { encodeNodeMessage(Hello { "n2", peerAddress }), encodeNodeMessage(ViewRequest {}),
        encodeNodeMessage(ForwardedRequest { 7, "POST", "h", "/a", "{}" }),
        encodeNodeMessage(ForwardedAnswer { 7, ForwardOutcome::Unknown, 200, "{}" }),
        encodeNodeMessage(ClusterView { peerAddress, { { "n2", peerAddress } } }),
        consensusFrame(consensus::VoteRequest { true, 1, 1, 1 }),
        consensusFrame(consensus::VoteAnswer { true, 1, true }),
        consensusFrame(consensus::AppendAnswer { true, 1, 1, 1 }),
        consensusFrame(consensus::SnapshotAnswer { 1, 1, 1, 1, true }), consensusFrame(consensus::ReadRequest { 1 }),
        consensusFrame(consensus::ReadAnswer { 1, true, 1 }) };
}

// Guards against bytes on the listener of our own nodes that end a control node or its other connections. What a leader
// sends to a follower is left out: a node must stop when that contradicts what is committed.
TEST_F(ClusterConnectionTest, MutatedFramesEndOnlyTheirConnection)
{
    // Another seed by --gtest_shuffle --gtest_random_seed=N.
    base::Random random(static_cast<std::uint64_t>(testing::UnitTest::GetInstance()->random_seed()));
    start();
    const auto healthy = connect();
    healthy->send(encodeNodeMessage(Hello { "", peerAddress }));
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_received.empty(); }));
    const std::vector<std::string> messages = everyMessage(std::get<Hello>(m_received.front()).node);
    for (int connection = 0; connection < mutatedConnections; ++connection) {
        http::testing::RawConnection raw(m_loop, m_options.internalPort);
        std::string bytes;
        for (auto count = 1 + random() % 4; count > 0; --count) {
            bytes += framed(messages[random() % messages.size()]);
        }
        for (auto count = random() % 4; count > 0; --count) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        raw.send(bytes);
        http::testing::runTurns(m_loop, 1 + static_cast<int>(random() % 8));
        if (random() % 2 == 0) {
            raw.reset();
        }
    }
    // Several ticks, in which a leader manages its members and connects to the addresses it has learned.
    const auto ticks = m_loop.runAt(base::monotonicNow() + base::Milliseconds(500), [this] { m_loop.stop(); });
    m_loop.run();
    m_received.clear();
    healthy->send(encodeNodeMessage(ViewRequest {}));
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_received.empty(); }));
}

} // namespace
} // namespace crocuscove::control
