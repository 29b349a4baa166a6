#include "crocuscove/document/names.h"
#include "crocuscove/document/path_prefix.h"
#include "crocuscove/document/section_readers.h"
#include "crocuscove/document/text_fields.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuscove::document {

namespace {

constexpr std::int64_t maxDeadlineMs = 86400000; // 24 h

std::optional<Route> readRoute(const Field& field, ProblemList& problems)
{
    const std::size_t before = problems.size();
    Route route;
    MapReader map(field, problems);
    route.host = readIfPresent(map.optional("host"), [&](const Field& f) { return readHost(f, problems); });
    const auto path
        = readIfPresent(map.required("pathPrefix"), [&](const Field& f) { return readPathPrefix(f, problems); });
    map.finish();
    route.pathPrefix = path.value_or("");
    return problems.size() == before ? std::optional(route) : std::nullopt;
}

std::optional<RequestKind> readRequest(const Field& field, ProblemList& problems)
{
    const std::size_t before = problems.size();
    RequestKind kind;
    MapReader map(field, problems);
    const auto name = readIfPresent(map.required("name"), [&](const Field& f) { return readIdText(f, problems); });
    kind.method = readIfPresent(map.optional("method"), [&](const Field& f) { return readMethod(f, problems); });
    const auto path
        = readIfPresent(map.required("pathPrefix"), [&](const Field& f) { return readPathPrefix(f, problems); });
    const auto workClass
        = readIfPresent(map.required("class"), [&](const Field& f) { return readName(f, workClassNames, problems); });
    const auto deadline = readIfPresent(
        map.required("deadlineMs"), [&](const Field& f) { return readInteger(f, 1, maxDeadlineMs, problems); });
    const auto idempotent
        = readIfPresent(map.required("idempotent"), [&](const Field& f) { return readBoolean(f, problems); });
    map.finish();
    if (problems.size() != before) {
        return std::nullopt;
    }
    kind.name = name.value_or("");
    kind.pathPrefix = path.value_or("");
    kind.workClass = workClass.value_or(WorkClass::Short);
    kind.deadline = base::Milliseconds(deadline.value_or(0));
    kind.isIdempotent = idempotent.value_or(false);
    return kind;
}

template <typename T, typename Read> std::vector<Located<T>> readItems(const std::vector<Field>& fields, Read read)
{
    std::vector<Located<T>> items;
    for (const Field& field : fields) {
        if (auto item = read(field)) {
            items.push_back({ std::move(*item), field });
        }
    }
    return items;
}

/// Tells whether every request that `later` matches is matched by `earlier` too.
bool isShadowedBy(const RequestKind& later, const RequestKind& earlier)
{
    return (!earlier.method || earlier.method == later.method) && isPathPrefix(earlier.pathPrefix, later.pathPrefix);
}

void checkRoute(const std::vector<Located<Route>>& routes, std::size_t index, ProblemList& problems)
{
    const auto end = routes.begin() + static_cast<std::ptrdiff_t>(index);
    const auto same = std::find_if(
        routes.begin(), end, [&](const Located<Route>& earlier) { return earlier.value == routes[index].value; });
    if (same != end) {
        problems.add(routes[index].field.place, routes[index].field.path,
            fmt::format("duplicate route, the same as {}", same->field.path), "each host and pathPrefix once");
    }
}

void checkRequest(const std::vector<Located<RequestKind>>& requests, std::size_t index, ProblemList& problems)
{
    const Located<RequestKind>& request = requests[index];
    const auto end = requests.begin() + static_cast<std::ptrdiff_t>(index);
    const auto sameName = std::find_if(requests.begin(), end,
        [&](const Located<RequestKind>& earlier) { return earlier.value.name == request.value.name; });
    if (sameName != end) {
        const Field name = valueOf(request.field, "name");
        problems.add(name.place, name.path,
            fmt::format("duplicate name '{}', the same as {}", request.value.name, sameName->field.path),
            "each name once");
    }
    const auto shadow = std::find_if(requests.begin(), end,
        [&](const Located<RequestKind>& earlier) { return isShadowedBy(request.value, earlier.value); });
    if (shadow != end) {
        problems.add(request.field.place, request.field.path,
            fmt::format("never matches, since {} '{}' on line {} matches first", shadow->field.path, shadow->value.name,
                shadow->field.place.line),
            "more specific requests first");
    }
}

} // namespace

std::vector<Located<Route>> readRoutes(const Field& field, ProblemList& problems)
{
    auto routes = readItems<Route>(
        readList(field, 1, maxRoutes, problems), [&](const Field& f) { return readRoute(f, problems); });
    for (std::size_t index = 0; index < routes.size(); ++index) {
        checkRoute(routes, index, problems);
    }
    return routes;
}

std::vector<Located<RequestKind>> readRequests(const Field& field, ProblemList& problems)
{
    auto requests = readItems<RequestKind>(
        readList(field, 1, maxRequestKinds, problems), [&](const Field& f) { return readRequest(f, problems); });
    for (std::size_t index = 0; index < requests.size(); ++index) {
        checkRequest(requests, index, problems);
    }
    return requests;
}

void checkReachability(
    const std::vector<Located<Route>>& routes, const std::vector<Located<RequestKind>>& requests, ProblemList& problems)
{
    for (const Located<RequestKind>& request : requests) {
        const bool isReachable = std::ranges::any_of(routes, [&](const Located<Route>& route) {
            return isPathPrefix(route.value.pathPrefix, request.value.pathPrefix)
                || isPathPrefix(request.value.pathPrefix, route.value.pathPrefix);
        });
        if (!isReachable) {
            const Field path = valueOf(request.field, "pathPrefix");
            problems.add(path.place, path.path, "no route leads to " + quoteForMessage(request.value.pathPrefix),
                "a path below a route's pathPrefix");
        }
    }
}

} // namespace crocuscove::document
