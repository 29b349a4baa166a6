#include "crocuscove/base/random.h"
#include "crocuscove/jobs/testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace crocuscove::jobs {
namespace {

const std::array<std::string, 3> names { "a", "b", "c" };
const std::array<QueueUrl, 4> urls { { { "host", "/x/" }, { "host", "/x/y/" }, { "host", "/z/" },
    { "other", "/x/" } } };

/// A configuration with some of the queues, each at another URL.
Configuration randomConfiguration(base::Random& random, std::uint64_t version)
{
    Configuration result = testing::configuration(version);
    const Queue sample = result.queues.front();
    result.queues.clear();
    std::size_t url = random() % urls.size();
    for (const std::string& name : names) {
        if (random() % 3 != 0) {
            result.queues.push_back(sample);
            result.queues.back().name = name;
            result.queues.back().host = urls[url % urls.size()].host;
            result.queues.back().pathPrefix = urls[url % urls.size()].pathPrefix;
        }
        ++url;
    }
    return result;
}

void checkQueues(const FleetState& state, const std::map<JobId, QueueUrl>& accepted)
{
    for (const auto& [id, acceptedUrl] : accepted) {
        for (const QueueUrl& url : urls) {
            RC_ASSERT(state.isAcceptedAt(url, id) == (url == acceptedUrl && state.findJob(id) != nullptr));
        }
    }
    for (const QueueUrl& url : urls) {
        RC_ASSERT(state.hasJobsAt(url)
            == std::ranges::any_of(state.jobs(), [&](const auto& job) { return accepted.at(job.first) == url; }));
    }
    for (const std::string& name : names) {
        const bool hasJob
            = std::ranges::any_of(state.jobs(), [&](const auto& job) { return job.second.queue == name; });
        RC_ASSERT((state.findQueue(name) != nullptr) == (hasJob || state.configuration().findQueue(name) != nullptr));
    }
    std::uint64_t counted = 0;
    for (const Queue& queue : state.configuration().queues) {
        counted += state.countWaitingJobs(queue);
    }
    const auto isCounted = [&](const auto& entry) {
        const Job& job = entry.second;
        const Configuration& configuration = state.configuration();
        return job.phase == JobPhase::Queued
            && (configuration.findQueue(job.queue) != nullptr
                || configuration.findQueueAt(accepted.at(job.id)) != nullptr);
    };
    RC_ASSERT(counted == static_cast<std::uint64_t>(std::ranges::count_if(state.jobs(), isCounted)));
}

// Guards against a job that the path that accepted it doesn't know, a queue that is forgotten before its jobs or kept
// after them, and jobs that no queue or two queues count, under any changes of the configuration.
RC_GTEST_PROP(FleetStateQueuesProperty, JobsKeepTheirUrlAndQueuesEndWithTheirJobs, (std::uint32_t seed))
{
    base::Random random(seed);
    FleetState state;
    std::map<JobId, QueueUrl> accepted;
    for (std::uint64_t item = 1; item <= 200; ++item) {
        const JobId id = 1 + random() % 5;
        switch (random() % 6) {
        case 0:
            state.apply(PutConfiguration { randomConfiguration(random, item) });
            break;
        case 1:
            state.apply(CancelJob { id, 1 });
            break;
        case 2:
            state.apply(PruneJobs { std::numeric_limits<std::int64_t>::max() });
            break;
        case 3: {
            FleetState restarted;
            restarted.restoreSnapshot(state.encodeSnapshot());
            RC_ASSERT(restarted.encodeSnapshot() == state.encodeSnapshot());
            state = std::move(restarted);
            break;
        }
        default: {
            // The configuration may have changed since the job was submitted.
            const bool wasKnown = state.findJob(id) != nullptr;
            const QueueUrl& url = urls[random() % urls.size()];
            AcceptJobAtUrl command { testing::accept(id, { testing::step(1) }), url };
            command.accepted.queue = names[random() % names.size()];
            state.apply(decodeCommands(encodeCommands({ command })).front());
            if (!wasKnown && state.findJob(id) != nullptr) {
                accepted[id] = url;
            }
        }
        }
        checkQueues(state, accepted);
    }
}

} // namespace
} // namespace crocuscove::jobs
