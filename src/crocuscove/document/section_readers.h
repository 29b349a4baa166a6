#pragma once

#include "crocuscove/document/field_reader.h"
#include "crocuscove/document/service_document.h"

namespace crocuscove::document {

inline constexpr std::int64_t maxShare = 1000;
inline constexpr std::size_t maxRoutes = 256;
inline constexpr std::size_t maxRequestKinds = 256;

/// A part of the document with the field it was read from. Parts with mistakes are left out.
template <typename T> struct Located {
    T value;
    Field field;
};

PoolSection readPool(const Field& field, ProblemList& problems);

/// Reads the availability section and reports a budget that `pool` can't meet.
double readAvailability(const Field& field, const std::optional<PoolSection>& pool, ProblemList& problems);

std::vector<Located<Route>> readRoutes(const Field& field, ProblemList& problems);
std::vector<Located<RequestKind>> readRequests(const Field& field, ProblemList& problems);
LimitsSection readLimits(const Field& field, ProblemList& problems);
QueueSection readQueue(const Field& field, ProblemList& problems);
JobsSection readJobs(const Field& field, ProblemList& problems);

/// Reports request kinds that no route leads to.
void checkReachability(const std::vector<Located<Route>>& routes, const std::vector<Located<RequestKind>>& requests,
    ProblemList& problems);

} // namespace crocuscove::document
