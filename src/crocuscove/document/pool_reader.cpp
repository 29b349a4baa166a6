#include "crocuscove/document/names.h"
#include "crocuscove/document/section_readers.h"

#include <fmt/format.h>

#include <cmath>

namespace crocuscove::document {

namespace {

constexpr std::int64_t maxExecutors = 100000;
constexpr std::int64_t maxSlots = 1024;
constexpr std::int64_t maxConnections = 65536;

ExecutorRange readExecutors(const Field& field, ProblemList& problems)
{
    ExecutorRange range;
    MapReader map(field, problems);
    const auto readCount = [&](const std::optional<Field>& count, std::int64_t minimum) {
        return readIfPresent(count, [&](const Field& f) { return readInteger(f, minimum, maxExecutors, problems); });
    };
    const auto minimumField = map.required("min");
    const auto maximumField = map.required("max");
    const auto spareField = map.optional("spare");
    const auto minimum = readCount(minimumField, 1);
    const auto maximum = readCount(maximumField, 1);
    const auto spare = readCount(spareField, 0);
    map.finish();

    if (minimum && maximum && *minimum > *maximum) {
        problems.add(minimumField->place, minimumField->path,
            fmt::format("the minimum {} is above the maximum {}", *minimum, *maximum),
            fmt::format("1 to {}", *maximum));
    } else if (minimum && maximum && spare && *minimum + *spare > *maximum) {
        problems.add(spareField->place, spareField->path,
            fmt::format("minimum {} and spare {} together are above the maximum {}", *minimum, *spare, *maximum),
            fmt::format("0 to {}", *maximum - *minimum));
    }
    range.minimum = static_cast<std::uint32_t>(minimum.value_or(range.minimum));
    range.maximum = static_cast<std::uint32_t>(maximum.value_or(range.maximum));
    range.spare = static_cast<std::uint32_t>(spare.value_or(range.spare));
    return range;
}

/// The executors that must stay in service of `wanted` ones.
std::uint32_t requiredExecutors(std::uint32_t wanted, double minAvailablePercent)
{
    // Keeps a product such as 10 * 90.0 / 100 from rounding up to the next executor.
    constexpr double roundingTolerance = 1e-9;
    return static_cast<std::uint32_t>(std::ceil(wanted * minAvailablePercent / 100.0 - roundingTolerance));
}

} // namespace

PoolSection readPool(const Field& field, ProblemList& problems)
{
    PoolSection pool;
    MapReader map(field, problems);
    const auto name
        = readIfPresent(map.required("name"), [&](const Field& f) { return readId<base::PoolId>(f, problems); });
    if (const auto executors = map.required("executors")) {
        pool.executors = readExecutors(*executors, problems);
    }
    const auto slots = readIfPresent(
        map.optional("slotsPerExecutor"), [&](const Field& f) { return readInteger(f, 1, maxSlots, problems); });
    const auto connectionsField = map.optional("connectionsPerExecutor");
    const auto connections
        = readIfPresent(connectionsField, [&](const Field& f) { return readInteger(f, 1, maxConnections, problems); });
    const auto domain = readIfPresent(
        map.optional("failureDomain"), [&](const Field& f) { return readName(f, failureDomainNames, problems); });
    map.finish();

    pool.name = name.value_or(pool.name);
    pool.slotsPerExecutor = static_cast<std::uint32_t>(slots.value_or(pool.slotsPerExecutor));
    pool.connectionsPerExecutor = static_cast<std::uint32_t>(connections.value_or(pool.connectionsPerExecutor));
    pool.failureDomain = domain.value_or(pool.failureDomain);
    if (pool.connectionsPerExecutor < pool.slotsPerExecutor) {
        const Field& place = connectionsField.value_or(field);
        problems.add(place.place, field.path + ".connectionsPerExecutor",
            fmt::format("{} connections are below the {} slots", pool.connectionsPerExecutor, pool.slotsPerExecutor),
            fmt::format("{} to {}", pool.slotsPerExecutor, maxConnections));
    }
    return pool;
}

double readAvailability(const Field& field, const std::optional<PoolSection>& pool, ProblemList& problems)
{
    constexpr double noAvailability = 0.0;
    constexpr double fullAvailability = 100.0;
    MapReader map(field, problems);
    const auto percentField = map.required("minAvailablePercent");
    const auto percent = readIfPresent(
        percentField, [&](const Field& f) { return readDecimal(f, noAvailability, fullAvailability, problems); });
    map.finish();
    if (!percent || !pool) {
        return fullAvailability;
    }
    // At full demand the pool can't borrow another VM, so one stop must leave the budget in service.
    const std::uint32_t wanted = pool->executors.maximum - pool->executors.spare;
    const std::uint32_t required = requiredExecutors(wanted, *percent);
    const std::uint32_t left = pool->executors.maximum - 1;
    if (required > left) {
        problems.add(percentField->place, percentField->path,
            fmt::format("the budget can't be met: {}% of {} executors wanted is {}, and one planned stop leaves {} of "
                        "the pool's {}",
                *percent, wanted, required, left, pool->executors.maximum),
            fmt::format("a larger pool.executors.max with spare, or 0 to {}", 100.0 * left / wanted));
    }
    return *percent;
}

} // namespace crocuscove::document
