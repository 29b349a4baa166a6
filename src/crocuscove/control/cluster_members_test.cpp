#include "crocuscove/control/cluster.h"

#include "crocuscove/http/socket_testing.h"
#include "crocuscove/storage/temporary_folder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;

constexpr auto leaderAddress = "127.0.0.1";

std::uint16_t freePort()
{
    http::EventLoop loop;
    return link::FrameListener(loop, { leaderAddress, 0 }, link::FrameOptions {}, nullptr).port();
}

/// A control node that follows the leader without a disk, and never stands for election.
class Follower {
public:
    Follower(http::EventLoop& loop, std::uint16_t port, int number)
        : m_name("n" + std::to_string(number))
        , m_address("127.0.0." + std::to_string(number))
        , m_raft(raftOptions(), {}, base::Random(1), base::monotonicNow())
        , m_listener(loop, { m_address, port }, link::FrameOptions {},
              [this](auto connection) { accept(std::move(connection)); })
        , m_toLeader(link::FrameConnection::connect(loop, { leaderAddress, port }, link::FrameOptions {}, {}))
    {
        m_toLeader->send(encodeNodeMessage(Hello { m_name, m_address }));
    }

    /// Sets whether it takes part in the consensus. Its connections and its other answers go on either way.
    void setTakesPart(bool takesPart) { m_takesPart = takesPart; }

    /// Tells whether the leader has sent it a message of the consensus.
    [[nodiscard]] bool isAddressed() const { return m_isAddressed; }
    [[nodiscard]] base::NodeId id() const { return base::NodeId(m_name); }
    [[nodiscard]] const consensus::Membership& membership() const { return m_raft.membership(); }
    [[nodiscard]] bool isVoter() const { return m_raft.membership().isVoter(id()); }
    [[nodiscard]] bool isLearner() const { return m_raft.membership().isLearner(id()); }

private:
    consensus::RaftOptions raftOptions() const
    {
        consensus::RaftOptions options;
        options.self = id();
        return options;
    }

    void accept(std::unique_ptr<link::FrameConnection> accepted)
    {
        link::FrameConnection& connection = *m_accepted.emplace_back(std::move(accepted));
        link::FrameHooks hooks;
        hooks.onFrame = [this, &connection](std::string_view frame) { onFrame(connection, frame); };
        connection.setHooks(std::move(hooks));
    }

    void onFrame(link::FrameConnection& connection, std::string_view frame)
    {
        const auto message = decodeNodeMessage(frame);
        if (std::holds_alternative<Hello>(message)) {
            connection.send(encodeNodeMessage(Hello { m_name, m_address }));
        } else if (std::holds_alternative<ViewRequest>(message)) {
            connection.send(encodeNodeMessage(ClusterView { {}, { { m_name, m_address } } }));
        } else if (const auto* consensusFrame = std::get_if<ConsensusFrame>(&message)) {
            m_isAddressed = true;
            if (m_takesPart) {
                m_raft.step(base::monotonicNow(), decodeConsensusFrame(*consensusFrame));
                drain();
            }
        }
    }

    void drain()
    {
        for (auto ready = m_raft.takeReady(); !ready.empty(); ready = m_raft.takeReady()) {
            if (!ready.entries.empty()) {
                m_raft.persisted(ready.entries.back().index);
            }
            std::ranges::for_each(ready.messages, [this](const consensus::Message& message) {
                m_toLeader->send(encodeNodeMessage(ConsensusFrame { consensus::encodeMessage(message) }));
            });
        }
    }

    std::string m_name;
    std::string m_address;
    bool m_takesPart = true;
    bool m_isAddressed = false;
    consensus::Raft m_raft;
    std::vector<std::unique_ptr<link::FrameConnection>> m_accepted;
    link::FrameListener m_listener;
    std::unique_ptr<link::FrameConnection> m_toLeader;
};

/// A real leader, which founds the cluster alone, and followers that join it.
class ClusterMembersTest : public testing::Test {
protected:
    void start(std::uint32_t votersWanted, int followers)
    {
        m_options.listen = { leaderAddress, 1 };
        m_options.internalPort = freePort();
        m_options.seeds = { { leaderAddress, 1 } };
        m_options.isFirstStart = true;
        m_options.votersWanted = votersWanted;
        m_options.dataFolder = m_folder.path("data");
        m_hooks.onApplied = [](const std::vector<jobs::Command>&) {};
        m_hooks.onServing = [this](bool isServing) { m_isServing = isServing; };
        m_hooks.onRequest = [](const ForwardedRequest&, const std::function<void(ForwardedAnswer)>&) {};
        m_cluster = std::make_unique<Cluster>(m_loop, m_options, m_log, m_random, m_hooks);
        for (int number = 2; number < followers + 2; ++number) {
            join(number);
        }
    }

    void join(int number) { m_followers.push_back(std::make_unique<Follower>(m_loop, m_options.internalPort, number)); }

    /// Followers that see themselves as voters, or as learners.
    [[nodiscard]] std::vector<Follower*> voters() const { return select(&Follower::isVoter); }
    [[nodiscard]] std::vector<Follower*> learners() const { return select(&Follower::isLearner); }

    [[nodiscard]] std::vector<Follower*> select(bool (Follower::*holds)() const) const
    {
        std::vector<Follower*> result;
        std::ranges::for_each(m_followers, [&](const auto& follower) {
            if ((follower.get()->*holds)()) {
                result.push_back(follower.get());
            }
        });
        return result;
    }

    bool waitForMembers(std::size_t voters, std::size_t learners)
    {
        return runUntil(m_loop, [&] { return this->voters().size() == voters && this->learners().size() == learners; });
    }

    storage::TemporaryFolder m_folder;
    http::EventLoop m_loop;
    ControlOptions m_options;
    base::Log m_log { base::LogLevel::Error };
    base::Random m_random { 1 };
    ClusterHooks m_hooks;
    bool m_isServing = false;
    std::unique_ptr<Cluster> m_cluster;
    std::vector<std::unique_ptr<Follower>> m_followers;
};

// Guards against a voter with a full disk that counts as a voter for ever, since its process goes on answering.
TEST_F(ClusterMembersTest, AVoterThatAcknowledgesNothingIsReplacedAndComesBack)
{
    start(3, 3);
    ASSERT_TRUE(waitForMembers(2, 1));
    Follower& first = *voters().front();
    Follower& second = *voters().back();
    Follower& spare = *learners().front();
    first.setTakesPart(false);
    ASSERT_TRUE(runUntil(m_loop, [&] { return spare.isVoter() && spare.membership().isLearner(first.id()); }));
    first.setTakesPart(true);
    ASSERT_TRUE(runUntil(m_loop, [&] { return first.isLearner(); }));
    second.setTakesPart(false);
    ASSERT_TRUE(runUntil(m_loop, [&] { return first.isVoter() && first.membership().isLearner(second.id()); }));
}

// Guards against a promotion that waits for the first learner, though another one has caught up.
TEST_F(ClusterMembersTest, ALearnerThatLagsDoesNotHoldUpThePromotionOfAnother)
{
    start(2, 1);
    Follower& lagging = *m_followers.front();
    lagging.setTakesPart(false);
    ASSERT_TRUE(runUntil(m_loop, [&] { return lagging.isAddressed(); }));
    join(3);
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_followers.back()->isVoter(); }));
    EXPECT_TRUE(m_followers.back()->membership().isLearner(lagging.id()));
}

// Guards against a learner that has caught up, takes no part any more, and gets the place of a lost voter.
TEST_F(ClusterMembersTest, ALearnerOutOfServiceIsNotPromoted)
{
    start(3, 4);
    ASSERT_TRUE(waitForMembers(2, 2));
    Follower& lost = *voters().front();
    Follower& out = *learners().front();
    Follower& spare = *learners().back();
    out.setTakesPart(false);
    lost.setTakesPart(false);
    ASSERT_TRUE(runUntil(m_loop, [&] { return spare.isVoter(); }));
    EXPECT_TRUE(spare.membership().isLearner(out.id()));
}

// Guards against members that are removed while no quorum takes part, or that don't count again afterwards.
TEST_F(ClusterMembersTest, MembersThatWereAllOutOfServiceFormAQuorumAgain)
{
    start(3, 3);
    ASSERT_TRUE(waitForMembers(2, 1));
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_isServing; }));
    std::ranges::for_each(m_followers, [](const auto& follower) { follower->setTakesPart(false); });
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_isServing; }));
    std::ranges::for_each(m_followers, [](const auto& follower) { follower->setTakesPart(true); });
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_isServing; }));
    EXPECT_TRUE(waitForMembers(2, 1));
}

} // namespace
} // namespace crocuscove::control
