#include "crocuscove/jobs/worker_change.h"

#include "crocuscove/base/enum_names.h"

#include <tuple>
#include <utility>

namespace crocuscove::jobs {

namespace {

constexpr auto refusalNames = base::enumNames<GrowthRefusal>({
    { GrowthRefusal::None, "none" },
    { GrowthRefusal::TooSoon, "too-soon" },
    { GrowthRefusal::OldReport, "old-report" },
});

} // namespace

std::string_view growthRefusalName(GrowthRefusal refusal) { return refusalNames.name(refusal); }

bool hasPossibleStart(const WorkerReport& report, std::int64_t nowMs)
{
    return report.incarnation >= 0 && report.incarnation <= nowMs + maxClockLead.count();
}

WorkerChange compareReports(const WorkerReport& known, const WorkerReport& report)
{
    if (known.incarnation != report.incarnation) {
        return known.incarnation > report.incarnation ? WorkerChange::None : WorkerChange::Other;
    }
    if (report.sequence <= known.sequence) {
        return WorkerChange::None;
    }
    const auto identity
        = [](const WorkerReport& item) { return std::tie(item.address, item.service, item.zone, item.labels); };
    const bool startsToDrain = report.isDraining && !known.isDraining;
    if (startsToDrain || identity(known) != identity(report) || !known.capacity.fitsInto(report.capacity)) {
        return WorkerChange::Other;
    }
    return known.capacity == report.capacity ? WorkerChange::None : WorkerChange::Growth;
}

WorkerReport withoutGrowth(const WorkerReport& known, WorkerReport report)
{
    if (known.incarnation == report.incarnation) {
        report.capacity = componentwiseMin(known.capacity, report.capacity);
    }
    return report;
}

GrowthRefusal checkGrowth(
    base::MonotonicTime now, base::MonotonicTime nextGrowthAt, std::optional<base::Milliseconds> reportAge)
{
    if (now < nextGrowthAt) {
        return GrowthRefusal::TooSoon;
    }
    return reportAge && *reportAge <= maxGrowthReportAge ? GrowthRefusal::None : GrowthRefusal::OldReport;
}

} // namespace crocuscove::jobs
