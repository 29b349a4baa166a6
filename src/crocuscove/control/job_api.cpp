#include "job_api.h"

#include "platform/job_codec.h"
#include "platform/json_fields.h"
#include "platform/task_name.h"

#include <chrono>
#include <string_view>
#include <utility>

namespace crocuscove::control {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusMethodNotAllowed = 405;
constexpr std::uint32_t statusGone = 410;
constexpr std::uint32_t statusUnavailable = 503;
constexpr std::uint32_t statusTimeout = 504;
/// A client that got no answer has sent its request again by then.
constexpr base::Milliseconds submissionMemory { 60'000 };

ForwardedAnswer answer(const ForwardedRequest& request, std::uint32_t status, std::string body = {})
{
    return { request.id, ForwardOutcome::Answered, status, std::move(body) };
}

ForwardedAnswer refusal(const ForwardedRequest& request, ForwardOutcome outcome)
{
    return { request.id, outcome, 0, {} };
}

/// Tells whether a request asks for the queue as a whole or for a job of it, by its name.
bool isRoutedTo(const ForwardedRequest& request, const jobs::Queue& queue)
{
    const std::string_view name = std::string_view(request.path).substr(queue.pathPrefix.size());
    return platform::parseJobName(name) || (request.method == "GET" && name.empty());
}

} // namespace

void JobApi::handle(const ForwardedRequest& request, const Reply& reply)
{
    if (!m_cluster.isServing()) {
        reply(refusal(request, ForwardOutcome::NotLeader));
        return;
    }
    const jobs::Configuration& configuration = m_cluster.state().configuration();
    if (configuration.version == 0) {
        reply(answer(request, statusUnavailable));
        return;
    }
    const jobs::Queue* queue = configuration.match(request.host, request.path);
    if (queue != nullptr && isRoutedTo(request, *queue)) {
        answerRouted(request, *queue, reply);
        return;
    }
    // An older leader could miss a queue that was added meanwhile.
    m_cluster.confirmCurrent([this, request, reply](bool isCurrent) {
        const jobs::Queue* current = m_cluster.state().configuration().match(request.host, request.path);
        if (!isCurrent || (current != nullptr && isRoutedTo(request, *current))) {
            reply(refusal(request, ForwardOutcome::NotLeader));
        } else {
            answerNotRouted(request, current, reply);
        }
    });
}

void JobApi::answerRouted(const ForwardedRequest& request, const jobs::Queue& queue, const Reply& reply)
{
    const std::string name = request.path.substr(queue.pathPrefix.size());
    const auto id = platform::parseJobName(name);
    if (request.method == "GET") {
        read(request, queue, name, reply);
    } else if (request.method == "POST") {
        submit(request, queue, *id, reply);
    } else if (request.method == "DELETE") {
        cancel(request, *id, reply);
    } else {
        reply(answer(request, statusMethodNotAllowed));
    }
}

// The jobs of a queue outlive it, and must still end when they are cancelled. No request to it succeeds, so that the
// cancelling is answered as if there were no such job. Other requests get 404, also where another queue has a shorter
// prefix of the path: a 410 would say that the job doesn't exist while it runs.
void JobApi::answerNotRouted(const ForwardedRequest& request, const jobs::Queue* outer, const Reply& reply)
{
    const jobs::FleetState& state = m_cluster.state();
    const auto path = platform::parseJobPath(request.path);
    const bool isAccepted = path && state.isAcceptedAt({ request.host, path->prefix }, path->job);
    if (isAccepted) {
        m_metrics.count("job_without_queue", request.method == "DELETE" ? "cancel" : "not-found");
        m_log.info("job_without_queue", { { "job", platform::jobName(path->job) }, { "method", request.method } });
    }
    if (isAccepted && request.method == "DELETE") {
        cancel(request, path->job, [reply](ForwardedAnswer cancelled) {
            if (cancelled.outcome == ForwardOutcome::Answered && cancelled.status == statusOk) {
                cancelled.status = statusGone;
            }
            reply(std::move(cancelled));
        });
    } else if (outer == nullptr || isAccepted || isRemoved({ request.host, request.path })
        || (path && isRemoved({ request.host, path->prefix }))) {
        reply(answer(request, statusNotFound));
    } else {
        reply(answer(request, request.method == "GET" ? statusGone : statusBadRequest));
    }
}

bool JobApi::isRemoved(const jobs::QueueUrl& url) const
{
    const jobs::FleetState& state = m_cluster.state();
    return state.hasJobsAt(url) && state.configuration().findQueueAt(url) == nullptr;
}

void JobApi::submit(const ForwardedRequest& request, const jobs::Queue& queue, jobs::JobId id, const Reply& reply)
{
    if (m_cluster.state().findJob(id) != nullptr) {
        reply(answer(request, statusOk));
        return;
    }
    if (!m_cluster.canCommit()) {
        refuse(request, id, reply);
        return;
    }
    jobs::AcceptJobAtUrl command;
    command.url = queue.url();
    command.accepted.job = id;
    command.accepted.queue = queue.name;
    command.accepted.nowMs = base::wallNow().time_since_epoch().count();
    try {
        command.accepted.spec = platform::decodeJob(request.body);
    } catch (const platform::MalformedMessage& error) {
        m_log.warning("job_malformed", { { "job", platform::jobName(id) }, { "cause", error.what() } });
        reply(answer(request, statusBadRequest));
        return;
    }
    m_openSubmissions[id] = base::monotonicNow() + submissionMemory;
    m_cluster.propose(
        std::move(command), [this, request, reply, id, start = base::monotonicNow()](ProposalOutcome outcome) {
            if (outcome == ProposalOutcome::Applied) {
                m_openSubmissions.erase(id);
            } else {
                std::erase_if(
                    m_openSubmissions, [now = base::monotonicNow()](const auto& entry) { return entry.second <= now; });
            }
            const std::chrono::duration<double> waited = base::monotonicNow() - start;
            m_metrics.observe("job_commit", waited.count());
            const bool isStored = outcome == ProposalOutcome::Applied && m_cluster.state().findJob(id) != nullptr;
            m_metrics.count("job_submitted", isStored ? "stored" : "not-stored");
            m_log.info("job_submitted", { { "job", platform::jobName(id) }, { "stored", isStored } });
            if (isStored) {
                reply(answer(request, statusOk));
            } else if (outcome == ProposalOutcome::Applied) {
                reply(answer(request, statusUnavailable));
            } else {
                reply(refusal(request,
                    outcome == ProposalOutcome::NotExecuted ? ForwardOutcome::NotLeader : ForwardOutcome::Unknown));
            }
        });
}

void JobApi::cancel(const ForwardedRequest& request, jobs::JobId id, const Reply& reply)
{
    const jobs::Job* job = m_cluster.state().findJob(id);
    if (job != nullptr && !job->isActive()) {
        reply(answer(request, statusOk));
        return;
    }
    if (!m_cluster.canCommit()) {
        refuse(request, id, reply);
        return;
    }
    const std::int64_t nowMs = base::wallNow().time_since_epoch().count();
    m_cluster.propose(jobs::CancelJob { id, nowMs }, [this, request, reply, id](ProposalOutcome outcome) {
        const jobs::Job* cancelled = m_cluster.state().findJob(id);
        m_log.info("job_cancelled",
            { { "job", platform::jobName(id) }, { "applied", outcome == ProposalOutcome::Applied },
                { "phase", cancelled == nullptr ? "unknown" : jobs::jobPhaseName(cancelled->phase) } });
        if (outcome != ProposalOutcome::Applied) {
            reply(refusal(request, ForwardOutcome::Unknown));
            return;
        }
        reply(answer(request, cancelled == nullptr ? statusGone : statusOk));
    });
}

void JobApi::refuse(const ForwardedRequest& request, jobs::JobId id, const Reply& reply)
{
    const bool mayRun = request.method == "POST" && m_openSubmissions.contains(id);
    m_metrics.count("job_refused", "commit-stalled");
    m_log.warning(
        "job_refused", { { "job", platform::jobName(id) }, { "method", request.method }, { "open", mayRun } });
    reply(answer(request, mayRun ? statusTimeout : statusUnavailable));
}

void JobApi::read(
    const ForwardedRequest& request, const jobs::Queue& queue, const std::string& name, const Reply& reply)
{
    if (m_cluster.hasLeadership(base::monotonicNow())) {
        answerRead(request, queue, name, reply);
        return;
    }
    m_cluster.confirmCurrent([this, request, queue, name, reply](bool isCurrent) {
        if (isCurrent) {
            answerRead(request, queue, name, reply);
        } else {
            reply(refusal(request, ForwardOutcome::NotLeader));
        }
    });
}

void JobApi::answerRead(
    const ForwardedRequest& request, const jobs::Queue& queue, const std::string& name, const Reply& reply)
{
    if (name.empty()) {
        reply(answer(request, statusOk, platform::encodeWaitingJobs(m_waitingJobs(queue))));
        return;
    }
    const auto id = platform::parseJobName(name);
    const jobs::Job* job = id ? m_cluster.state().findJob(*id) : nullptr;
    if (job == nullptr) {
        reply(answer(request, statusGone));
        return;
    }
    reply(answer(request, statusOk, platform::encodeJobPhase(job->phase)));
}

} // namespace crocuscove::control
