#include "crocuscove/control/job_api.h"

#include "crocuscove/http/socket_testing.h"
#include "crocuscove/jobs/testing.h"
#include "crocuscove/storage/temporary_folder.h"
#include "platform/job_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace crocuscove::control {
namespace {

using http::testing::runUntil;

constexpr auto ownAddress = "127.0.0.1";
constexpr auto followerAddress = "127.0.0.2";
constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusGone = 410;
constexpr std::uint32_t statusUnavailable = 503;
constexpr std::uint32_t statusTimeout = 504;

std::uint16_t freePort()
{
    http::EventLoop loop;
    return link::FrameListener(loop, { ownAddress, 0 }, link::FrameOptions {}, nullptr).port();
}

/// A voter that answers its leader's heartbeats, but acknowledges entries only while its disk works.
class Follower {
public:
    Follower(http::EventLoop& loop, std::uint16_t port)
        : m_listener(loop, { followerAddress, port }, link::FrameOptions {},
            [this](auto connection) { accept(std::move(connection)); })
        , m_connection(link::FrameConnection::connect(loop, { ownAddress, port }, link::FrameOptions {}, {}))
    {
        m_connection->send(encodeNodeMessage(Hello { "n2", followerAddress }));
    }

    void setDiskWorks(bool works) { m_diskWorks = works; }

private:
    void accept(std::unique_ptr<link::FrameConnection> connection)
    {
        link::FrameHooks hooks;
        hooks.onFrame = [this, raw = connection.get()](std::string_view frame) { onFrame(*raw, frame); };
        connection->setHooks(std::move(hooks));
        m_accepted.push_back(std::move(connection));
    }

    void onFrame(link::FrameConnection& connection, std::string_view frame)
    {
        const auto message = decodeNodeMessage(frame);
        if (std::holds_alternative<Hello>(message)) {
            connection.send(encodeNodeMessage(Hello { "n2", followerAddress }));
        } else if (std::holds_alternative<ViewRequest>(message)) {
            connection.send(encodeNodeMessage(ClusterView {}));
        } else if (const auto* consensusFrame = std::get_if<ConsensusFrame>(&message)) {
            onConsensus(decodeConsensusFrame(*consensusFrame));
        }
    }

    void onConsensus(const consensus::Message& message)
    {
        const auto* request = std::get_if<consensus::AppendRequest>(&message.body);
        if (request == nullptr) {
            return;
        }
        m_received = std::max<consensus::Index>(m_received, request->previousIndex + request->entries.size());
        m_stored = m_diskWorks ? m_received : m_stored;
        const consensus::AppendAnswer answer { true, request->previousIndex, m_stored, request->round };
        m_connection->send(encodeNodeMessage(
            ConsensusFrame { consensus::encodeMessage({ message.to, message.from, message.term, answer }) }));
    }

    bool m_diskWorks = true;
    consensus::Index m_received = 0;
    consensus::Index m_stored = 0;
    std::vector<std::unique_ptr<link::FrameConnection>> m_accepted;
    link::FrameListener m_listener;
    std::unique_ptr<link::FrameConnection> m_connection;
};

class JobApiTest : public testing::Test {
protected:
    JobApiTest()
    {
        m_options.listen = { ownAddress, 1 };
        m_options.internalPort = freePort();
        m_options.seeds = { { ownAddress, 1 } };
        m_options.votersWanted = 2;
        m_options.isFirstStart = true;
        m_options.dataFolder = m_folder.path("data");
        ClusterHooks hooks;
        hooks.onApplied = [](const std::vector<jobs::Command>&) {};
        hooks.onServing = [](bool) {};
        m_cluster.emplace(m_loop, m_options, m_log, m_random, std::move(hooks));
        m_api.emplace(m_log, m_metrics, *m_cluster,
            [this](const auto& queue) { return m_cluster->state().countWaitingJobs(queue); });
    }

    bool hasLine(const std::string& text) const
    {
        return std::ranges::any_of(m_lines, [&](const auto& line) { return line.find(text) != std::string::npos; });
    }

    /// Has the follower vote and the configuration in force.
    bool form()
    {
        m_cluster->propose(jobs::PutConfiguration { jobs::testing::configuration() }, nullptr);
        return runUntil(m_loop, [this] {
            if (m_cluster->isServing() && m_cluster->state().configuration().version == 0) {
                m_cluster->propose(jobs::PutConfiguration { jobs::testing::configuration() }, nullptr);
            }
            return hasLine("voter-wanted") && m_cluster->state().configuration().version == 1;
        });
    }

    /// Puts a configuration with these queues in force.
    bool put(std::uint64_t version, const std::vector<jobs::Queue>& queues)
    {
        jobs::Configuration configuration = jobs::testing::configuration(version);
        configuration.queues = queues;
        m_cluster->propose(jobs::PutConfiguration { configuration }, nullptr);
        return runUntil(m_loop, [&] { return m_cluster->state().configuration().version == version; });
    }

    bool prune()
    {
        bool isDone = false;
        m_cluster->propose(jobs::PruneJobs { std::numeric_limits<std::int64_t>::max() },
            [&isDone](ProposalOutcome outcome) { isDone = outcome == ProposalOutcome::Applied; });
        return runUntil(m_loop, [&isDone] { return isDone; });
    }

    std::optional<ForwardedAnswer> ask(const std::string& method, const std::string& path)
    {
        const auto answer = std::make_shared<std::optional<ForwardedAnswer>>();
        m_api->handle({ 1, method, "host", path, R"({"steps":[{"count":1}]})" },
            [answer](const ForwardedAnswer& given) { *answer = given; });
        static_cast<void>(runUntil(m_loop, [&] { return answer->has_value(); }));
        return *answer;
    }

    /// Answers a request for the job with number `job`.
    std::optional<ForwardedAnswer> ask(const std::string& method, int job)
    {
        return ask(method, "/q/000000000000000" + std::to_string(job));
    }

    storage::TemporaryFolder m_folder;
    http::EventLoop m_loop;
    ControlOptions m_options;
    std::vector<std::string> m_lines;
    base::Log m_log { base::LogLevel::Info, {}, [this](std::string_view line) { m_lines.emplace_back(line); } };
    base::Random m_random { 1 };
    process::Metrics m_metrics;
    std::optional<Cluster> m_cluster;
    std::optional<JobApi> m_api;
};

// Guards against requests that are each held to their end by a leader that can't commit.
TEST_F(JobApiTest, ALeaderThatCannotCommitRefusesFurtherChangesAtOnce)
{
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    ASSERT_EQ(ask("POST", 1)->status, statusOk);
    follower.setDiskWorks(false);
    EXPECT_EQ(ask("POST", 2)->outcome, ForwardOutcome::Unknown);
    EXPECT_EQ(ask("POST", 3)->status, statusUnavailable);
    EXPECT_EQ(ask("DELETE", 1)->status, statusUnavailable);
    // An earlier request for it may still be carried out.
    EXPECT_EQ(ask("POST", 2)->status, statusTimeout);
    EXPECT_TRUE(m_cluster->isServing());
    follower.setDiskWorks(true);
    EXPECT_TRUE(runUntil(m_loop, [&] { return hasLine("commit_resumed"); }));
    EXPECT_EQ(ask("POST", 2)->status, statusOk);
    EXPECT_EQ(ask("POST", 3)->status, statusOk);
}

constexpr jobs::JobId acceptedJob = 1;
const std::string acceptingPrefix = "/orders/express/";
const std::string acceptedPath = acceptingPrefix + "0000000000000001";
const std::string unknownPath = acceptingPrefix + "0000000000000009";

jobs::Queue queue(const std::string& name, const std::string& pathPrefix, const std::string& host = "host")
{
    jobs::Queue result = jobs::testing::configuration().queues.front();
    result.name = name;
    result.host = host;
    result.pathPrefix = pathPrefix;
    return result;
}

const jobs::Queue outer = queue("r-1", "/orders/");
const jobs::Queue accepting = queue("r-2", acceptingPrefix);

/// Changes of the configuration after a job was accepted by the queue `accepting`, and what is answered afterwards.
struct ConfigurationChange {
    std::string name;
    /// The queues of each version, the first of which is in force when the job is accepted.
    std::vector<std::vector<jobs::Queue>> versions;
    std::uint32_t read = 0;
    std::uint32_t submitAgain = 0;
    std::uint32_t count = 0;
    std::uint32_t cancel = 0;
    /// The queues before.
    std::vector<jobs::Queue> earlier;
};

std::ostream& operator<<(std::ostream& out, const ConfigurationChange& change) { return out << change.name; }

ConfigurationChange routed(std::string name, std::vector<std::vector<jobs::Queue>> versions)
{
    return { std::move(name), std::move(versions), statusOk, statusOk, statusOk, statusOk, {} };
}

ConfigurationChange notRouted(std::string name, std::vector<std::vector<jobs::Queue>> versions)
{
    return { std::move(name), std::move(versions), statusNotFound, statusNotFound, statusNotFound, statusGone, {} };
}

class ConfigurationChangeTest : public JobApiTest, public testing::WithParamInterface<ConfigurationChange> { };

// Guards against an accepted job that its path no longer knows, or can't cancel, after a change of the configuration.
TEST_P(ConfigurationChangeTest, ThePathThatAcceptedAJobStillCancelsIt)
{
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    std::uint64_t version = 1;
    ASSERT_TRUE(put(++version, GetParam().earlier));
    ASSERT_TRUE(put(++version, GetParam().versions.front()));
    ASSERT_EQ(ask("POST", acceptedPath)->status, statusOk);
    std::ranges::for_each(GetParam().versions, [&](const auto& queues) { ASSERT_TRUE(put(++version, queues)); });
    EXPECT_EQ(ask("GET", acceptedPath)->status, GetParam().read);
    EXPECT_EQ(ask("POST", acceptedPath)->status, GetParam().submitAgain);
    EXPECT_EQ(ask("GET", acceptingPrefix)->status, GetParam().count);
    EXPECT_TRUE(m_cluster->state().findJob(acceptedJob)->isActive());
    EXPECT_EQ(ask("DELETE", acceptedPath)->status, GetParam().cancel);
    EXPECT_EQ(m_cluster->state().findJob(acceptedJob)->phase, jobs::JobPhase::Cancelled);
    EXPECT_EQ(ask("DELETE", acceptedPath)->status, GetParam().cancel) << "again, after a lost answer";
}

const jobs::Queue moved = queue("r-2", "/bulk/");
const jobs::Queue renamed = queue("r-3", acceptingPrefix);
const jobs::Queue shadowing = queue("r-4", acceptingPrefix + "0");

INSTANTIATE_TEST_SUITE_P(AllChanges, ConfigurationChangeTest,
    testing::Values(routed("unchanged", { { accepting } }), routed("unchanged_nested", { { outer, accepting } }),
        notRouted("removed", { { accepting }, {} }), notRouted("removed_nested", { { outer, accepting }, { outer } }),
        notRouted("removed_and_outer_added", { { accepting }, { outer } }),
        notRouted("removed_with_outer", { { outer, accepting }, { outer }, {} }),
        notRouted("moved", { { accepting }, { moved } }),
        notRouted("moved_nested", { { outer, accepting }, { outer, moved } }),
        notRouted("moved_twice", { { accepting }, { moved }, { queue("r-2", "/other/") } }),
        notRouted("moved_and_removed", { { accepting }, { moved }, {} }),
        notRouted("moved_to_another_host", { { accepting }, { queue("r-2", acceptingPrefix, "host-2") } }),
        routed("moved_and_back", { { accepting }, { moved }, { accepting } }),
        routed("moved_and_replaced", { { accepting }, { moved, renamed } }),
        routed("renamed", { { accepting }, { renamed } }),
        notRouted("renamed_and_removed", { { accepting }, { renamed }, {} }),
        notRouted("renamed_and_removed_nested", { { outer, accepting }, { outer, renamed }, { outer } }),
        notRouted("renamed_and_moved", { { accepting }, { renamed }, { queue("r-3", "/bulk/") } }),
        routed("removed_and_back", { { accepting }, {}, { accepting } }),
        routed("removed_and_back_nested", { { outer, accepting }, { outer }, { outer, accepting } }),
        routed("removed_and_back_renamed", { { accepting }, {}, { renamed } }),
        notRouted("removed_and_name_reused", { { accepting }, {}, { queue("r-2", "/orders/") } }),
        ConfigurationChange { "back_renamed_and_removed", { { accepting }, {} }, statusNotFound, statusNotFound,
            statusNotFound, statusGone, { queue("r-0", acceptingPrefix) } },
        ConfigurationChange { "shadowed", { { accepting }, { accepting, shadowing } }, statusNotFound, statusNotFound,
            statusOk, statusGone, {} },
        ConfigurationChange { "replaced_at_the_job", { { accepting }, { queue("r-4", acceptedPath) } }, statusOk,
            statusNotFound, statusNotFound, statusGone, {} }),
    [](const testing::TestParamInfo<ConfigurationChange>& change) { return change.param.name; });

// Guards against a job that the path of another queue cancels, and against jobs that a removed queue accepts.
TEST_F(JobApiTest, APathOfARemovedQueueReachesOnlyItsJobs)
{
    const std::string outerPath = "/orders/0000000000000002";
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    ASSERT_TRUE(put(2, { outer, accepting }));
    ASSERT_EQ(ask("POST", acceptedPath)->status, statusOk);
    ASSERT_EQ(ask("POST", outerPath)->status, statusOk);
    ASSERT_TRUE(put(3, { outer }));
    EXPECT_EQ(ask("DELETE", acceptingPrefix + "0000000000000002")->status, statusNotFound);
    EXPECT_TRUE(m_cluster->state().findJob(2)->isActive());
    EXPECT_EQ(ask("GET", unknownPath)->status, statusNotFound);
    EXPECT_EQ(ask("POST", unknownPath)->status, statusNotFound);
    EXPECT_EQ(ask("DELETE", unknownPath)->status, statusNotFound);
    EXPECT_EQ(m_cluster->state().findJob(9), nullptr);
    EXPECT_TRUE(m_cluster->state().earlyCancels().empty());
    EXPECT_EQ(ask("GET", outerPath)->status, statusOk);
}

// Guards against a removed queue that is remembered for longer than its jobs.
TEST_F(JobApiTest, ARemovedQueueIsForgottenWithItsLastJob)
{
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    ASSERT_TRUE(put(2, { outer, accepting }));
    ASSERT_EQ(ask("POST", acceptedPath)->status, statusOk);
    ASSERT_TRUE(put(3, { outer }));
    ASSERT_EQ(ask("DELETE", acceptedPath)->status, statusGone);
    EXPECT_EQ(ask("GET", acceptedPath)->status, statusNotFound);
    ASSERT_TRUE(prune());
    EXPECT_EQ(ask("GET", acceptedPath)->status, statusGone) << "the outer queue has no such job";
    EXPECT_EQ(ask("DELETE", acceptedPath)->status, statusBadRequest);
    EXPECT_EQ(m_cluster->state().findQueue("r-2"), nullptr);
}

// Guards against a cancelling that is acknowledged although it was refused, so that the job runs on.
TEST_F(JobApiTest, ACancellingOfAJobWithoutQueueIsAcknowledgedOnceItIsCommitted)
{
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    ASSERT_TRUE(put(2, { outer, accepting }));
    ASSERT_EQ(ask("POST", acceptedPath)->status, statusOk);
    ASSERT_TRUE(put(3, { outer }));
    follower.setDiskWorks(false);
    ASSERT_EQ(ask("POST", "/orders/0000000000000002")->outcome, ForwardOutcome::Unknown);
    EXPECT_EQ(ask("DELETE", acceptedPath)->status, statusUnavailable);
    EXPECT_TRUE(m_cluster->state().findJob(acceptedJob)->isActive());
    follower.setDiskWorks(true);
    ASSERT_TRUE(runUntil(m_loop, [&] { return hasLine("commit_resumed"); }));
    EXPECT_EQ(ask("DELETE", acceptedPath)->status, statusGone);
    EXPECT_EQ(m_cluster->state().findJob(acceptedJob)->phase, jobs::JobPhase::Cancelled);
}

// Guards against waiting jobs that no queue counts, after the queue that accepted them got another name.
TEST_F(JobApiTest, WaitingJobsCountForTheQueueThatTookTheirPath)
{
    Follower follower(m_loop, m_options.internalPort);
    ASSERT_TRUE(form());
    const auto waiting = [this](const std::string& path) { return ask("GET", path)->body; };
    const std::string one = platform::encodeWaitingJobs(1);
    const std::string none = platform::encodeWaitingJobs(0);
    ASSERT_TRUE(put(2, { outer, accepting }));
    ASSERT_EQ(ask("POST", acceptedPath)->status, statusOk);
    EXPECT_EQ(waiting(acceptingPrefix), one);
    ASSERT_TRUE(put(3, { outer, renamed }));
    EXPECT_EQ(waiting(acceptingPrefix), one);
    EXPECT_EQ(waiting(outer.pathPrefix), none);
    ASSERT_TRUE(put(4, { outer, moved, renamed }));
    EXPECT_EQ(waiting(acceptingPrefix), none) << "its own queue is back";
    EXPECT_EQ(waiting(moved.pathPrefix), one);
}

} // namespace
} // namespace crocuscove::control
