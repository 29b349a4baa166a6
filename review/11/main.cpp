// Case 11: a start order that is carried out late, by an executor that has started again behind a cut.
#include "support/world.h"

using namespace world;

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](World& world, bool isTrouble) {
        for (int number = 0; number < 8; ++number) {
            world.addExecutor("printworks", "r1-" + std::to_string(number / 4), 64'000);
        }
        world.startSystem();
        world.configure(manifest(Json::array({ route("r-print", "/print/", "printworks", 3) }),
            Json::array({ service("printworks") })));
        world.startExecutors();
        pause(8'000);

        bool isTwice = false;
        Executor* first = nullptr;
        world.onStart = [&](Executor& executor, const Run& run) {
            for (const auto& other : world.executors) {
                const auto found = other->running.find(run.task);
                if (other.get() != &executor && other->isUp() && found != other->running.end()) {
                    isTwice = true;
                    world.record("TWICE: " + run.task + " run " + std::to_string(run.run) + " starts on " + executor.id
                        + " while run " + std::to_string(found->second.run) + " is on " + other->id);
                }
            }
        };
        world.delayOfStart = [&](Executor& executor, const Json&) -> std::int64_t {
            if (!isTrouble || first != nullptr) {
                return 0;
            }
            first = &executor;
            return 8'000;
        };
        const std::string job = "/print/00000000000000a1";
        world.submit(job,
            { { "spec", "ms=20000" },
                { "steps", { { { "count", 1 }, { "cpu", 4000 }, { "memMb", 1024 }, { "estRuntimeMs", 20000 } } } } });
        if (isTrouble) {
            pause(3'000);
            if (first == nullptr) {
                throw Setup("no start was ordered");
            }
            first->setCut(true);
            pause(500);
            first->restartBehindCut();
            pause(5'000);
            first->setCut(false);
        }
        std::string state;
        const std::int64_t until = steadyMs() + 45'000;
        while (steadyMs() < until && state != "done") {
            pause(500);
            state = world.state(job);
        }
        const std::lock_guard lock(world.mutex);
        world.record("the job is " + state);
        if (state != "done" && !isTwice) {
            throw Setup("the job wasn't done");
        }
        return isTwice;
    });
}
