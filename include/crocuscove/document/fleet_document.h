#pragma once

#include "crocuscove/base/id.h"

#include <chrono>
#include <vector>

namespace crocuscove::document {

/// Weights of the four measures in capacity decisions. Larger means that the measure matters more.
struct MeasureWeights {
    double shortWait = 1.0;
    double bufferCost = 1.0;
    double rolloutTime = 1.0;
    double moves = 1.0;

    bool operator==(const MeasureWeights&) const = default;
};

/// The document of the whole fleet, stored under the service id "fleet".
struct FleetDocument {
    std::vector<base::DataCentreId> dataCentres;
    base::PoolId sparePool;
    std::chrono::hours maintenancePeriod { 504 };
    MeasureWeights weights;

    bool operator==(const FleetDocument&) const = default;
};

} // namespace crocuscove::document
