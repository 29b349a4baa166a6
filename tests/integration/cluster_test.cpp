#include "support/json_lines.h"
#include "support/system.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>

/// Documents, failures and stops in a cluster of three voters and three learners with real processes.
namespace crocuscove::testing {
namespace {

constexpr int nodes = 6;
constexpr int voters = 3;
/// Enough that writes are open while the node is killed; five kills stay below 1000 revisions of one document.
constexpr std::uint64_t writesAroundKill = 60;
/// Between two resends of a write that got no final answer.
constexpr std::chrono::milliseconds resendInterval { 20 };
const std::string demoDocument = CROCUSCOVE_SOURCE_FOLDER "/examples/documents/quickstart/demo.yaml";

/// The demo document with another deadline for each version.
std::string documentText(std::uint64_t version)
{
    std::ifstream file(demoDocument);
    std::string text { std::istreambuf_iterator<char>(file), {} };
    const std::string field = "deadlineMs: 5000";
    return text.replace(text.find(field), field.size(), fmt::format("deadlineMs: {}", 5000 + version));
}

http::HttpResponse put(const System& system, int viaNode, std::uint64_t expected, const std::string& requestId)
{
    return system.putDocument(viaNode, "demo", documentText(expected + 1), expected, requestId);
}

nlohmann::json bodyOf(const http::HttpResponse& response)
{
    return nlohmann::json::parse(response.body, nullptr, false);
}

/// Writes one revision after another and resends each through the next node until it is accepted. Revisions are
/// written up to a limit, so that a test decides what happens while a write is open.
class Writer {
public:
    explicit Writer(const System& system)
        : m_system(system)
        , m_thread([this] { run(); })
    {
    }
    ~Writer()
    {
        m_isStopped = true;
        m_thread.join();
    }
    Writer(const Writer&) = delete;
    Writer& operator=(const Writer&) = delete;

    void writeMore(std::uint64_t revisions) { m_limit += revisions; }
    [[nodiscard]] std::uint64_t acknowledged() const { return m_acknowledged; }
    [[nodiscard]] bool isIdle() const { return m_acknowledged == m_limit; }
    [[nodiscard]] bool isWrong() const { return m_isWrong; }
    [[nodiscard]] static std::string requestId(std::uint64_t revision) { return fmt::format("write-{}", revision); }

private:
    void run()
    {
        for (int attempt = 0; !m_isStopped; ++attempt) {
            if (m_acknowledged < m_limit && write(attempt % nodes + 1)) {
                ++m_acknowledged;
            } else {
                std::this_thread::sleep_for(resendInterval);
            }
        }
    }

    bool write(int viaNode)
    {
        const std::uint64_t next = m_acknowledged + 1;
        const auto response = put(m_system, viaNode, m_acknowledged, requestId(next));
        // Each write has a request id of its own, so that a resend gets the first answer and never a conflict.
        m_isWrong = m_isWrong || response.status == 409 || response.status == 400
            || (response.status == 200 && bodyOf(response).at("revision") != next);
        return response.status == 200;
    }

    const System& m_system;
    std::atomic<std::uint64_t> m_limit = 0;
    std::atomic<std::uint64_t> m_acknowledged = 0;
    std::atomic<bool> m_isWrong = false;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/// Reads the revision from every node in turn. A read that isn't marked stale must return at least what was
/// acknowledged or read before it began.
class Reader {
public:
    Reader(const System& system, const Writer& writer)
        : m_system(system)
        , m_writer(writer)
        , m_thread([this] { run(); })
    {
    }
    ~Reader() { stop(); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    /// Ends reading. Returns the reads that went backward.
    const std::vector<std::string>& stop()
    {
        m_isStopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_problems;
    }
    [[nodiscard]] std::uint64_t currentReads() const { return m_currentReads; }
    /// A process that was started again may know less for a while, and marks its answers stale.
    void expectRestart(int number) { ++m_runs.at(static_cast<std::size_t>(number - 1)); }

private:
    struct LastRead {
        int run = 0;
        std::uint64_t revision = 0;
    };

    void run()
    {
        for (int turn = 0; !m_isStopped; ++turn) {
            read(turn % nodes + 1);
        }
    }

    void read(int number)
    {
        const auto index = static_cast<std::size_t>(number - 1);
        const int run = m_runs.at(index);
        const std::uint64_t floor = std::max<std::uint64_t>(m_highest, m_writer.acknowledged());
        const auto response = Cluster::request(m_system.node(number).admin, "GET", "/v1/documents/demo").response;
        if (!response || (response->status != 200 && response->status != 404)) {
            return;
        }
        const std::string text(response->headers.get("Crocuscove-Revision"));
        const std::uint64_t revision = text.empty() ? 0 : std::stoull(text);
        const bool isStale = response->headers.get("Crocuscove-Stale") == "1";
        LastRead& last = m_last.at(index);
        if (!isStale && revision < floor) {
            m_problems.push_back(fmt::format("n{}: current read of {} after {}", number, revision, floor));
        }
        if (run == m_runs.at(index) && run == last.run && revision < last.revision) {
            m_problems.push_back(fmt::format("n{}: read {} after {}", number, revision, last.revision));
        }
        last = { run, revision };
        if (!isStale) {
            m_highest = std::max(m_highest, revision);
            ++m_currentReads;
        }
    }

    const System& m_system;
    const Writer& m_writer;
    std::array<std::atomic<int>, nodes> m_runs {};
    std::array<LastRead, nodes> m_last {};
    std::uint64_t m_highest = 0;
    std::vector<std::string> m_problems;
    std::atomic<std::uint64_t> m_currentReads = 0;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

class ClusterTest : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(system.waitUntilReady()); }

    void TearDown() override { system.killBackends(); }

    void kill(int number, Reader& reader)
    {
        reader.expectRestart(number);
        system.nodeProcess(number).kill();
    }

    /// Kills a node while writes are open, and starts it again after more writes have succeeded without it.
    void killAndRestart(int number, Writer& writer, Reader& reader)
    {
        SCOPED_TRACE("killed " + system.node(number).name);
        const std::uint64_t before = writer.acknowledged();
        writer.writeMore(writesAroundKill);
        ASSERT_TRUE(waitUntil([&] { return writer.acknowledged() >= before + 5; }));
        kill(number, reader);
        ASSERT_TRUE(waitUntil([&] { return writer.isIdle(); }));
        ASSERT_TRUE(system.waitUntilReady());
        system.startNode(number);
        ASSERT_TRUE(system.waitUntilReady());
        ASSERT_TRUE(system.waitUntilInForce("demo", writer.acknowledged()));
    }

    /// Waits for a leader. Returns 0 when there is none within the timeout.
    int waitForLeader()
    {
        int leader = 0;
        static_cast<void>(waitUntil([&] {
            leader = system.leader();
            return leader != 0;
        }));
        return leader;
    }

    int followingVoter() { return waitForLeader() == 1 ? 2 : 1; }

    Cluster cluster { [] { return ::testing::Test::HasFailure(); } };
    System system { cluster, { .nodes = nodes, .voters = voters } };
};

// Guards against a document that is accepted by one node and not in force on the others, against two operators who
// both win or both lose a race under one expected revision, and against an answer to a resend that differs from the
// first one after the leader has changed.
TEST_F(ClusterTest, DocumentsReachEveryNodeOnceAndRacesHaveOneWinner)
{
    ASSERT_EQ(system.applyAndWait(demoDocument, 5), 0) << cluster.process("apply").errorText();
    ASSERT_TRUE(system.waitUntilInForce("demo", 1));

    constexpr std::uint64_t races = 20;
    for (std::uint64_t revision = 1; revision <= races; ++revision) {
        const int first = static_cast<int>(revision) % nodes + 1;
        const int second = (first + static_cast<int>(revision) % (nodes - 1)) % nodes + 1;
        http::HttpResponse other;
        std::thread operator2([&] { other = put(system, second, revision, fmt::format("race-{}-b", revision)); });
        const auto own = put(system, first, revision, fmt::format("race-{}-a", revision));
        operator2.join();
        ASSERT_EQ(std::min(own.status, other.status), 200) << own.body << other.body;
        ASSERT_EQ(std::max(own.status, other.status), 409) << own.body << other.body;
        const auto conflict = bodyOf(own.status == 409 ? own : other);
        EXPECT_EQ(conflict.at("error"), "revision-conflict");
        EXPECT_EQ(conflict.at("revisionInForce"), revision + 1);
    }
    ASSERT_TRUE(system.waitUntilInForce("demo", races + 1));

    const int leader = waitForLeader();
    ASSERT_NE(leader, 0);
    const auto answer = put(system, leader, races + 1, "resent");
    ASSERT_EQ(answer.status, 200) << answer.body;
    system.nodeProcess(leader).kill();
    const int other = leader % nodes + 1;
    http::HttpResponse resent;
    EXPECT_TRUE(waitUntil([&] {
        resent = put(system, other, races + 1, "resent");
        return resent.status == 200;
    })) << resent.body;
    EXPECT_EQ(resent.body, answer.body);
    EXPECT_EQ(system.history("demo", other).size(), races + 2);
}

// Guards against accepted revisions that are lost, repeated or reverted by the loss of the leader, a follower, a
// learner, and a second node right after the first one's repair, and against nodes that don't become ready again.
TEST_F(ClusterTest, KilledNodesLoseNoAcceptedRevision)
{
    Writer writer(system);
    writer.writeMore(1);
    ASSERT_TRUE(waitUntil([&] { return writer.isIdle(); }));
    Reader reader(system, writer);

    killAndRestart(waitForLeader(), writer, reader);
    killAndRestart(followingVoter(), writer, reader);
    killAndRestart(6, writer, reader);
    // The second loss comes as soon as the first node is back.
    const int first = followingVoter();
    writer.writeMore(writesAroundKill);
    kill(first, reader);
    ASSERT_TRUE(waitUntil([&] { return writer.isIdle(); }));
    system.startNode(first);
    ASSERT_TRUE(system.waitUntilReady());
    const int second = waitForLeader();
    ASSERT_NE(second, 0);
    killAndRestart(second, writer, reader);

    EXPECT_FALSE(writer.isWrong());
    std::vector<std::string> expected;
    for (std::uint64_t revision = 1; revision <= writer.acknowledged(); ++revision) {
        expected.push_back(Writer::requestId(revision));
    }
    for (int number = 1; number <= nodes; ++number) {
        EXPECT_EQ(system.history("demo", number), expected) << system.node(number).name;
    }
    EXPECT_EQ(fmt::format("{}", fmt::join(reader.stop(), "; ")), "");
    EXPECT_GT(reader.currentReads(), 0U);
}

// Guards against clients that wait for the quorum of the control plane, against a write whose outcome is not told
// while it is lost, and against a write path that does not come back with the voters.
TEST_F(ClusterTest, RequestsGoOnWithoutQuorum)
{
    ASSERT_EQ(system.applyAndWait(demoDocument), 0) << cluster.process("apply").errorText();
    for (int number = 1; number <= 4; ++number) {
        system.startBackend("demo", number);
    }
    for (int number = 1; number <= nodes; ++number) {
        ASSERT_TRUE(waitUntil([&] { return system.inService("demo", number) == 4; }));
        ASSERT_TRUE(system.waitForAnswer("/demo/read", number));
    }
    const int leader = waitForLeader();
    ASSERT_NE(leader, 0);
    const int follower = followingVoter();
    system.nodeProcess(leader).kill();
    system.nodeProcess(follower).kill();
    const auto isUp = [&](int number) { return number != leader && number != follower; };

    std::vector<int> entries;
    for (int number = 1; number <= nodes; ++number) {
        if (isUp(number)) {
            entries.push_back(number);
        }
    }
    ChildProcess& load = system.startLoad("load",
        { "--class=read:1:GET:/demo/read:5000:10:yes", "--rate=30", "--max-requests=200", "--duration-ms=60000" },
        entries);
    for (const int number : entries) {
        const auto refused = put(system, number, 1, "without-quorum");
        const bool isUnknown = refused.status == 504 && bodyOf(refused).at("outcome") == "unknown";
        EXPECT_TRUE(isUnknown || (refused.status == 503 && bodyOf(refused).at("outcome") == "not-executed"))
            << refused.status << refused.body;
        EXPECT_TRUE(waitUntil([&] {
            const auto ready = Cluster::request(system.node(number).admin, "GET", "/healthz/ready").response;
            return ready && ready->status == 503;
        })) << system.node(number).name;
    }
    EXPECT_EQ(load.waitForExit(), 0);
    const auto report = system.checkAnswers({ "load" });
    EXPECT_EQ(report.at("violations"), 0) << report.dump();
    EXPECT_EQ(report.at("executed"), 200) << report.dump();

    system.startNode(leader);
    system.startNode(follower);
    http::HttpResponse accepted;
    EXPECT_TRUE(waitUntil([&] {
        accepted = put(system, 6, 1, "without-quorum");
        return accepted.status == 200;
    })) << accepted.body;
    EXPECT_TRUE(system.waitUntilReady());
    EXPECT_TRUE(system.waitUntilInForce("demo", 2));
}

// Guards against base shares of slots that can't be used when quorum is lost before the first slots were leased.
TEST_F(ClusterTest, RequestsGoOnWhenQuorumIsLostRightAfterTheStart)
{
    ASSERT_EQ(system.applyAndWait(demoDocument), 0) << cluster.process("apply").errorText();
    for (int number = 1; number <= 4; ++number) {
        system.startBackend("demo", number);
    }
    for (int number = 1; number <= nodes; ++number) {
        ASSERT_TRUE(waitUntil([&] { return system.inService("demo", number) == 4; }));
    }
    const int leader = waitForLeader();
    const int follower = followingVoter();
    system.nodeProcess(leader).kill();
    system.nodeProcess(follower).kill();
    for (int number = 4; number <= nodes; ++number) {
        // Ten times the deadline of one request.
        ASSERT_TRUE(waitUntil(
            [&] {
                const auto answer = Cluster::request(system.node(number).client, "GET", "/demo/read").response;
                return answer && answer->headers.get("Crocuscove-Outcome") == "executed";
            },
            base::Milliseconds(20'000)))
            << system.node(number).name;
    }
}

// Guards against a planned stop of an entry node that cuts off a request it has taken.
TEST_F(ClusterTest, StoppedEntryNodeAnswersWhatItHasTaken)
{
    ASSERT_EQ(system.applyAndWait(demoDocument), 0) << cluster.process("apply").errorText();
    for (int number = 1; number <= 4; ++number) {
        system.startBackend("demo", number);
    }
    for (int number = 1; number <= nodes; ++number) {
        ASSERT_TRUE(waitUntil([&] { return system.inService("demo", number) == 4; }));
        ASSERT_TRUE(system.waitForAnswer("/demo/read", number));
    }
    ChildProcess& load = system.startLoad("load",
        { "--class=read:1:GET:/demo/read:8000:100:yes", "--class=order:1:POST:/demo/order:8000:100:no", "--rate=60",
            "--max-requests=300", "--duration-ms=60000" });
    ASSERT_TRUE(waitUntil([&] { return system.nodeProcess(5).logLines("request_dispatched").size() >= 10; }));
    system.nodeProcess(5).signal(SIGTERM);
    EXPECT_EQ(system.nodeProcess(5).waitForExit(), 0);
    EXPECT_EQ(load.waitForExit(), 0);

    const auto report = system.checkAnswers({ "load" });
    EXPECT_EQ(report.at("violations"), 0) << report.dump();
    for (const auto& answer : readJsonLines(cluster.path("load.jsonl"))) {
        // A request that comes after the listener has closed was never taken; the balancer sends it elsewhere.
        const bool isNeverTaken = answer.at("target") == system.node(5).client.text()
            && (answer.at("failure") == "connect-failed" || answer.at("outcome") == "not-executed");
        EXPECT_TRUE(answer.at("outcome") == "executed" || isNeverTaken) << answer.dump();
    }
}

} // namespace
} // namespace crocuscove::testing
