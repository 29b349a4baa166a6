#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::document {

/// A valid service document that uses every key.
inline constexpr std::string_view fullService = R"(schema: crocuscove/v1
kind: service
service: pricing
team: shops
pool:
  name: pricing
  executors: {min: 8, max: 12, spare: 1}
  slotsPerExecutor: 8
  connectionsPerExecutor: 64
  failureDomain: rack
availability:
  minAvailablePercent: 90
routes:
  - pathPrefix: /pricing
  - host: shop.example
    pathPrefix: /pricing
requests:
  - name: quote
    method: GET
    pathPrefix: /pricing/quote
    class: short
    deadlineMs: 2000
    idempotent: true
  - name: order
    method: POST
    pathPrefix: /pricing/order
    class: short
    deadlineMs: 5000
    idempotent: false
limits:
  maxBodyBytes: 1048576
  maxQueued: 1024
  maxInFlightPerClient: 64
queue:
  share: 1
  clientShares: {shops: 2}
jobs:
  pool: archive
  share: 1
  quota: {cores: 512, memoryMb: 1048576, accelerators: 0}
)";

/// A valid fleet document that uses every key.
inline constexpr std::string_view fullFleet = R"(schema: crocuscove/v1
kind: fleet
dataCentres: [dc-a, dc-b]
sparePool: spare
maintenancePeriodHours: 504
weights: {shortWait: 4, bufferCost: 2, rolloutTime: 1, moves: 0.5}
)";

/// Returns `text` with the first `from` replaced. Fails the test when `from` doesn't occur.
inline std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    const auto at = result.find(from);
    if (at == std::string::npos) {
        ADD_FAILURE() << "the document lacks '" << from << "'";
        return result;
    }
    return result.replace(at, from.size(), to);
}

inline std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Returns the files of examples/documents, ordered by name.
inline std::vector<std::filesystem::path> exampleFiles()
{
    std::vector<std::filesystem::path> files;
    const std::filesystem::path folder = std::filesystem::path(CROCUSCOVE_SOURCE_FOLDER) / "examples/documents";
    for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (entry.path().extension() == ".yaml") {
            files.push_back(entry.path());
        }
    }
    std::ranges::sort(files);
    return files;
}

} // namespace crocuscove::document
