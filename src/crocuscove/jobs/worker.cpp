#include "crocuscove/jobs/worker.h"

#include "crocuscove/jobs/wave.h"

#include <algorithm>

namespace crocuscove::jobs {

bool Worker::hasLabel(const std::string& label) const
{
    return std::ranges::find(report.labels, label) != report.labels.end();
}

bool Wave::isDone() const
{
    return std::ranges::all_of(vms, [](const auto& vm) { return vm.second == WaveVmPhase::Done; });
}

} // namespace crocuscove::jobs
