#pragma once

#include "crocuscove/document/field_reader.h"
#include "crocuscove/document/fleet_document.h"
#include "crocuscove/document/service_document.h"

namespace crocuscove::document {

// Each function reads the keys that follow `schema` and `kind`. The result is complete only without problems.

ServiceDocument readServiceDocument(MapReader& root, ProblemList& problems);
FleetDocument readFleetDocument(MapReader& root, ProblemList& problems);

} // namespace crocuscove::document
