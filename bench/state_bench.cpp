#include "crocuscove/state/state.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <string>
#include <unistd.h>

/// Memory, snapshot size and apply time of the replicated state at four sizes.
namespace {

using namespace crocuscove;
using Clock = std::chrono::steady_clock;

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string documentText(int number)
{
    return fmt::format(
        "schema: crocuscove/v1\nkind: service\nservice: service-{0}\nteam: team-{0}\npool:\n  name: pool-{1}\n"
        "  executors: {{min: 8, max: 12, spare: 1}}\navailability:\n  minAvailablePercent: 75\nroutes:\n"
        "  - pathPrefix: /service-{0}\nrequests:\n  - name: all\n    pathPrefix: /\n    class: short\n"
        "    deadlineMs: 1000\n    idempotent: true\n",
        number, number % 24);
}

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void measure(int vms, int documents, int jobs)
{
    const auto before = residentBytes();
    state::State state;
    std::uint64_t index = 0;
    const auto start = Clock::now();
    for (int i = 0; i < documents; ++i) {
        state.apply(++index,
            state::PutDocument {
                fmt::format("put-{}", i), base::ServiceId(fmt::format("service-{}", i)), 0, documentText(i) });
    }
    const double documentMs = millisecondsSince(start);
    const auto vmStart = Clock::now();
    for (int i = 0; i < vms; ++i) {
        state.apply(++index,
            state::RegisterVm { base::VmId(fmt::format("vm-{}", i)), base::DataCentreId(fmt::format("dc-{}", i % 9)),
                base::RackId(fmt::format("rack-{}", i / 4)), { 64, 262'144, 2 },
                base::PoolId(fmt::format("pool-{}", i % 24)), {} });
    }
    const double vmMs = millisecondsSince(vmStart);
    const auto jobStart = Clock::now();
    for (int i = 0; i < jobs; ++i) {
        const base::JobId job(fmt::format("job-{}", i));
        state.apply(++index,
            state::SubmitJob {
                { job, base::TeamId(fmt::format("team-{}", i % 870)), { 2, 4096, 0 }, true, false, 60 } });
        state.apply(++index, state::StartJob { job, base::WorkerId(fmt::format("worker-{}", i % vms)), 1 });
    }
    const double jobMs = millisecondsSince(jobStart);
    const auto resident = residentBytes() - before;
    const auto encodeStart = Clock::now();
    const auto bytes = state.encodeSnapshot().size();
    fmt::print("vms {:>6} documents {:>4} jobs {:>6}: resident {:>6.1f} MB, snapshot {:>6.2f} MB in {:>6.1f} ms, apply "
               "us: document "
               "{:.1f}, vm {:.1f}, job {:.1f}\n",
        vms, documents, jobs, static_cast<double>(resident) / 1e6, static_cast<double>(bytes) / 1e6,
        millisecondsSince(encodeStart), documentMs * 1000 / documents, vmMs * 1000 / vms, jobMs * 1000 / (2 * jobs));
}

} // namespace

int main(int argc, char** argv)
{
    // Each size runs in a process of its own, so that freed memory of one does not hide what the next needs.
    if (argc == 2) {
        const int part = std::stoi(argv[1]);
        measure(25'000 * part / 8, 870 * part / 8, 50'000 * part / 8);
    } else {
        fmt::print("usage: bench_state PART, 1 to 8 eighths of the design size\n");
    }
    return argc == 2 ? 0 : 2;
}
