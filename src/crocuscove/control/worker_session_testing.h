#pragma once

#include "worker_session.h"

#include "crocuscove/http/socket_testing.h"
#include "crocuscove/jobs/testing.h"
#include "platform/task_name.h"
#include "platform/worker_testing.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuscove::control::testing {

inline constexpr auto workerId = "w1";
inline constexpr std::int64_t firstClockMs = 60'000;
inline constexpr jobs::TaskKey task { 1, 0, 0, 0 };
inline constexpr jobs::TaskKey otherTask { 2, 0, 0, 0 };
inline constexpr jobs::TaskKey longRunningTask { 3, 0, 0, 0 };

/// A leader with sessions to one worker, whose commands are applied at once.
class WorkerSessionTest : public ::testing::Test {
protected:
    WorkerSessionTest()
    {
        m_worker.onRun = [this] { checkRuns(); };
        m_state.apply(jobs::PutConfiguration { jobs::testing::configuration() });
        m_state.apply(jobs::testing::accept(task.job, { jobs::testing::step(1) }));
        m_state.apply(jobs::testing::accept(otherTask.job, { jobs::testing::step(1) }));
    }

    [[nodiscard]] jobs::WorkerReport report() const
    {
        jobs::WorkerReport result = jobs::testing::report(workerId, m_worker.incarnation());
        result.address = "127.0.0.1:" + std::to_string(m_worker.port());
        return result;
    }

    /// Handles the worker's report about its current incarnation.
    void receiveReport() { receive(report()); }

    void receive(const jobs::WorkerReport& received)
    {
        const jobs::Worker* known = m_state.findWorker(received.id);
        if (m_state.isOfRemovedWorker(received)
            || (known != nullptr && known->report.incarnation > received.incarnation)) {
            return;
        }
        if (m_session && known != nullptr && known->report.incarnation < received.incarnation) {
            m_session->noteLaterIncarnation(received.incarnation);
        }
        propose(jobs::RecordWorker { received }, nullptr);
    }

    /// Another incarnation than the one that is known begins, whose time of day was set back, and takes a start.
    void restartWithEarlierStart()
    {
        m_worker.restart(-500);
        assign(task);
        ASSERT_TRUE(http::testing::runUntil(m_loop, [this] { return m_worker.isRunning(platform::taskName(task)); }));
    }

    void propose(jobs::Command command, std::function<void(bool)> callback)
    {
        m_loop.post([this, command = std::move(command), callback = std::move(callback)] {
            apply(command);
            if (callback) {
                callback(true);
            }
        });
    }

    void apply(const jobs::Command& command)
    {
        m_state.apply(command);
        checkRuns();
        const jobs::Worker* worker = m_state.findWorker(std::string(workerId));
        if (worker == nullptr || worker->number != m_number) {
            m_session.reset();
        }
        if (worker != nullptr && !m_session) {
            m_number = worker->number;
            beginSession();
        } else if (m_session) {
            m_session->update();
        }
    }

    void beginSession()
    {
        m_session = std::make_unique<WorkerSession>(
            m_loop, m_client, m_options, m_log, m_state, *m_state.findWorker(m_number), m_term, hooks());
    }

    SessionHooks hooks()
    {
        SessionHooks result;
        result.propose = [this](jobs::Command command, std::function<void(bool)> callback) {
            propose(std::move(command), std::move(callback));
        };
        result.onRunTime = [](const jobs::TaskKey&, std::int64_t) {};
        result.onOrder = [](std::string_view, base::MonotonicTime) {};
        result.mayOrder = [] { return true; };
        result.isReserved = [](const std::string&) { return false; };
        result.onCrash = [this](jobs::RecordCrash crash, std::int64_t) { m_crashes.push_back(std::move(crash)); };
        return result;
    }

    /// A task that is free starts elsewhere at once, so that it must not run here then or later.
    void checkRuns()
    {
        for (const jobs::TaskKey& key : { task, otherTask, longRunningTask }) {
            if (m_state.findJob(key.job) == nullptr) {
                continue;
            }
            const jobs::Job& job = *m_state.findJob(key.job);
            const jobs::Task* current = job.find(key);
            // The tasks of a job that has ended are forgotten once they are free.
            ASSERT_TRUE(current != nullptr || !job.isActive());
            const bool isFree = current == nullptr ? job.phase != jobs::JobPhase::Done
                                                   : current->phase == jobs::TaskPhase::Waiting && current->run > 0;
            m_isElsewhere[key] = m_isElsewhere[key] || isFree;
            EXPECT_FALSE(m_isElsewhere[key] && m_worker.isRunning(platform::taskName(key)))
                << platform::taskName(key) << " runs twice";
        }
    }

    [[nodiscard]] bool isFree(const jobs::TaskKey& key) { return m_isElsewhere[key]; }

    void addLongRunningTask()
    {
        jobs::StepSpec step = jobs::testing::step(1);
        step.isLongRunning = true;
        apply(jobs::testing::accept(longRunningTask.job, { step }));
    }

    /// Another leader takes over, which finds the replicated state only.
    void beginTerm()
    {
        ++m_term;
        beginSession();
    }

    void assign(const jobs::TaskKey& key) { apply(jobs::testing::assign(key, 1, m_number)); }

    /// Assigns the next run of a task that is free to the same worker, instead of elsewhere.
    void startAgainHere(const jobs::TaskKey& key)
    {
        m_isElsewhere[key] = false;
        apply(jobs::testing::assign(key, m_state.findJob(key.job)->find(key)->run + 1, m_number));
        ASSERT_TRUE(http::testing::runUntil(m_loop, [&] { return m_worker.isRunning(platform::taskName(key)); }));
    }

    /// Tells whether no start of an earlier incarnation than the worker's current one is open.
    [[nodiscard]] bool isSettled() const
    {
        const jobs::Worker* worker = m_state.findWorker(std::string(workerId));
        const bool isKnown = worker == nullptr || worker->report.incarnation == m_worker.incarnation();
        return isKnown && m_state.unsettledStarts().empty();
    }

    [[nodiscard]] bool hasUsedWorker() const { return m_session && m_session->isUsable(base::monotonicNow()); }

    /// The worker has answered, and the next renewal waits there.
    void reachWorker()
    {
        apply(jobs::RecordWorker { report() });
        ASSERT_TRUE(http::testing::runUntil(m_loop, [this] { return hasUsedWorker() && m_worker.renewals() >= 2; }));
    }

    void useShortLeases()
    {
        m_options.taskLease = base::Milliseconds(200);
        m_options.maxTaskLease = base::Milliseconds(4'000);
        m_worker.maxLeaseMs = m_options.maxTaskLease.count();
    }

    void runFor(base::Milliseconds time)
    {
        const auto end = base::monotonicNow() + time;
        ASSERT_TRUE(http::testing::runUntil(m_loop, [&] { return base::monotonicNow() >= end; }));
    }

    http::EventLoop m_loop;
    http::HttpClient m_client { m_loop, {} };
    ControlOptions m_options;
    base::Log m_log { base::LogLevel::Error };
    jobs::FleetState m_state;
    platform::testing::FakeWorker m_worker { m_loop, base::wallNow().time_since_epoch().count() - 10'000,
        firstClockMs };
    std::int64_t m_firstIncarnation = m_worker.incarnation();
    std::uint64_t m_term = 1;
    jobs::WorkerNumber m_number = 0;
    std::unique_ptr<WorkerSession> m_session;
    std::map<jobs::TaskKey, bool> m_isElsewhere;
    std::vector<jobs::RecordCrash> m_crashes;
};

} // namespace crocuscove::control::testing
