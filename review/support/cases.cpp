#include "cases.h"

#include <cstdio>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;

std::string job(const std::string& spec, int count, int cpu)
{
    return Json { { "spec", spec },
        { "steps", { { { "count", count }, { "cpu", cpu }, { "memMb", 1024 }, { "estRuntimeMs", 800 } } } } }
        .dump();
}

void startFleet(System& system, const std::vector<std::string>& machines)
{
    system.startAll();
    system.putManifest();
    for (const std::string& machine : machines) {
        system.startExecutor(machine);
    }
}

/// Hands in a short job and waits until it is done, so that the whole path is known to work.
void warmUp(System& system, const std::string& id)
{
    system.submit(id, job("100", 1, 1'000));
    if (system.awaitState(id, { "done" }, 15'000) != "done") {
        throw CannotRun("the first job isn't done");
    }
}

/// The rack of a service crashes twice while a job runs there; the job must be done in the end.
int lostAfterCrashes(System& system, bool hasTrouble)
{
    const std::vector<std::string> machines { "m-1", "m-2", "m-3" };
    for (const std::string& machine : machines) {
        system.addMachine(machine, "i-" + machine, "pool");
    }
    startFleet(system, machines);
    warmUp(system, "00000000000000a1");
    const std::string id = "00000000000000b1";
    system.submit(id, job("800", 1, 3'500));
    for (int crash = 1; hasTrouble && crash <= 2; ++crash) {
        if (!system.awaitStart(id + ".0.0.0", crash, 15'000)) {
            throw CannotRun("the work item didn't start");
        }
        sleepMs(300);
        for (const std::string& machine : machines) {
            system.killProcess(machine);
        }
        sleepMs(500);
        for (const std::string& machine : machines) {
            system.startExecutor(machine);
        }
    }
    const std::string state = system.awaitState(id, { "done", "failed", "cancelled", "410" }, 30'000);
    int failedEnds = 0;
    for (const Json& line : system.lines()) {
        failedEnds += line["event"] == "end" && line["how"] == "failed" ? 1 : 0;
    }
    std::printf("the job is shown as %s; runs that ended failed: %d of 3; nobody cancelled it\n", state.c_str(),
        failedEnds);
    return state == "done" ? held : broken;
}

} // namespace

const std::map<std::string, Case>& cases()
{
    static const std::map<std::string, Case> result {
        { "lost-after-crashes", lostAfterCrashes },
    };
    return result;
}

} // namespace review
