#include "crocuscove/document/document_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace crocuscove::document {

namespace {

constexpr std::size_t maxDataCentres = 64;
constexpr std::int64_t maxMaintenanceHours = 8760; // a year
constexpr double maxWeight = 1000.0;

std::vector<base::DataCentreId> readDataCentres(const Field& field, ProblemList& problems)
{
    std::vector<base::DataCentreId> dataCentres;
    for (const Field& item : readList(field, 1, maxDataCentres, problems)) {
        const auto dataCentre = readId<base::DataCentreId>(item, problems);
        if (!dataCentre) {
            continue;
        }
        if (std::ranges::find(dataCentres, *dataCentre) != dataCentres.end()) {
            problems.add(item.place, item.path, fmt::format("duplicate data centre '{}'", dataCentre->text()),
                "each data centre once");
        }
        dataCentres.push_back(*dataCentre);
    }
    return dataCentres;
}

MeasureWeights readWeights(const Field& field, ProblemList& problems)
{
    MeasureWeights weights;
    MapReader map(field, problems);
    const std::array<std::pair<std::string_view, double*>, 4> measures { {
        { "shortWait", &weights.shortWait },
        { "bufferCost", &weights.bufferCost },
        { "rolloutTime", &weights.rolloutTime },
        { "moves", &weights.moves },
    } };
    for (const auto& [name, weight] : measures) {
        const auto value = readIfPresent(
            map.optional(name), [&](const Field& f) { return readDecimal(f, 0.0, maxWeight, problems); });
        *weight = value.value_or(*weight);
    }
    map.finish();
    if (std::ranges::all_of(measures, [](const auto& measure) { return *measure.second == 0.0; })) {
        problems.add(field.place, field.path, "all weights are 0", "at least one weight above 0");
    }
    return weights;
}

void checkFleetId(const Field& field, ProblemList& problems)
{
    const auto id = readIdText(field, problems);
    if (id && *id != "fleet") {
        problems.add(field.place, field.path, "unknown value " + quoteForMessage(*id), "fleet, or leave the key out");
    }
}

} // namespace

FleetDocument readFleetDocument(MapReader& root, ProblemList& problems)
{
    FleetDocument fleet;
    if (const auto field = root.optional("service")) {
        checkFleetId(*field, problems);
    }
    if (const auto field = root.required("dataCentres")) {
        fleet.dataCentres = readDataCentres(*field, problems);
    }
    if (const auto field = root.required("sparePool")) {
        fleet.sparePool = readId<base::PoolId>(*field, problems).value_or(base::PoolId());
    }
    const auto hours = readIfPresent(root.optional("maintenancePeriodHours"),
        [&](const Field& f) { return readInteger(f, 1, maxMaintenanceHours, problems); });
    fleet.maintenancePeriod = std::chrono::hours(hours.value_or(fleet.maintenancePeriod.count()));
    if (const auto field = root.optional("weights")) {
        fleet.weights = readWeights(*field, problems);
    }
    return fleet;
}

} // namespace crocuscove::document
