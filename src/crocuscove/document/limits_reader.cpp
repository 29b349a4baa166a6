#include "crocuscove/document/section_readers.h"

namespace crocuscove::document {

namespace {

constexpr std::int64_t maxBodyLimitBytes = 67108864; // 64 MiB
constexpr std::int64_t maxQueuedLimit = 1000000;
constexpr std::int64_t maxInFlightLimit = 100000;
constexpr std::int64_t maxQuotaCores = 10000000;
constexpr std::int64_t maxQuotaMemoryMb = 1000000000000;
constexpr std::int64_t maxQuotaAccelerators = 1000000;

/// Reads an optional whole number into `target`, which keeps its default when the field is absent or wrong.
template <typename T>
void readNumber(
    const std::optional<Field>& field, std::int64_t minimum, std::int64_t maximum, T& target, ProblemList& problems)
{
    const auto value = readIfPresent(field, [&](const Field& f) { return readInteger(f, minimum, maximum, problems); });
    if (value) {
        target = static_cast<T>(*value);
    }
}

JobQuota readQuota(const Field& field, ProblemList& problems)
{
    JobQuota quota;
    MapReader map(field, problems);
    readNumber(map.required("cores"), 1, maxQuotaCores, quota.cores, problems);
    readNumber(map.required("memoryMb"), 1, maxQuotaMemoryMb, quota.memoryMb, problems);
    readNumber(map.optional("accelerators"), 0, maxQuotaAccelerators, quota.accelerators, problems);
    map.finish();
    return quota;
}

void readClientShare(const std::string& client, const Field& field, QueueSection& queue, ProblemList& problems)
{
    if (!base::isValidId(client)) {
        problems.add(field.place, field.path, "bad id " + quoteForMessage(client), std::string(base::idFormat));
        return;
    }
    std::uint32_t share = 1;
    readNumber(field, 1, maxShare, share, problems);
    queue.clientShares.emplace(base::TeamId(client), share);
}

} // namespace

LimitsSection readLimits(const Field& field, ProblemList& problems)
{
    LimitsSection limits;
    MapReader map(field, problems);
    readNumber(map.optional("maxBodyBytes"), 0, maxBodyLimitBytes, limits.maxBodyBytes, problems);
    readNumber(map.optional("maxQueued"), 1, maxQueuedLimit, limits.maxQueued, problems);
    readNumber(map.optional("maxInFlightPerClient"), 1, maxInFlightLimit, limits.maxInFlightPerClient, problems);
    map.finish();
    return limits;
}

QueueSection readQueue(const Field& field, ProblemList& problems)
{
    QueueSection queue;
    MapReader map(field, problems);
    readNumber(map.optional("share"), 1, maxShare, queue.defaultShare, problems);
    if (const auto shares = map.optional("clientShares")) {
        for (const auto& [client, share] : MapReader(*shares, problems).all()) {
            readClientShare(client, share, queue, problems);
        }
    }
    map.finish();
    return queue;
}

JobsSection readJobs(const Field& field, ProblemList& problems)
{
    JobsSection jobs;
    MapReader map(field, problems);
    const auto pool
        = readIfPresent(map.required("pool"), [&](const Field& f) { return readId<base::PoolId>(f, problems); });
    readNumber(map.optional("share"), 1, maxShare, jobs.share, problems);
    if (const auto quota = map.required("quota")) {
        jobs.quota = readQuota(*quota, problems);
    }
    map.finish();
    jobs.pool = pool.value_or(jobs.pool);
    return jobs;
}

} // namespace crocuscove::document
