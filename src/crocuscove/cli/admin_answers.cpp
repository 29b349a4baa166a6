#include "crocuscove/cli/admin_answers.h"

#include "crocuscove/document/diff.h"

#include <algorithm>
#include <iterator>

namespace crocuscove::cli {

namespace {

/// Returns a text as it is, and any other value as JSON.
std::string textOf(const JsonValue& value)
{
    return value.is_string() ? value.get<std::string>()
                             : value.dump(-1, ' ', false, JsonValue::error_handler_t::replace);
}

/// Returns the optional text of a key; absent and null give an empty one.
std::string optionalText(const JsonValue& object, const char* key)
{
    const auto value = object.find(key);
    return value == object.end() || value->is_null() ? "" : textOf(*value);
}

std::uint64_t number(const JsonValue& object, const char* key)
{
    const JsonValue& value = object.at(key);
    if (!value.is_number_integer() || value < 0) {
        throw JsonValue::type_error::create(302, std::string("'") + key + "' is not a whole number", &value);
    }
    return value.get<std::uint64_t>();
}

template <typename T, typename Read> std::vector<T> list(const JsonValue& array, Read read)
{
    if (!array.is_array()) {
        throw JsonValue::type_error::create(302, "a list is expected", &array);
    }
    std::vector<T> items;
    std::ranges::transform(array, std::back_inserter(items), read);
    return items;
}

ServiceStatus readService(const JsonValue& value)
{
    ServiceStatus status { value.at("service").get<std::string>(), number(value, "revision"), number(value, "wanted"),
        number(value, "inService"), {} };
    status.reasons = list<std::string>(value.at("reasons"), textOf);
    return status;
}

NodeStatus readNode(const JsonValue& value)
{
    return { value.at("node").get<std::string>(), optionalText(value, "role"), optionalText(value, "leader"),
        number(value, "applied"), value.at("ready").get<bool>() };
}

VmStatus readVm(const JsonValue& value)
{
    return { value.at("vm").get<std::string>(), value.at("pool").get<std::string>(),
        value.at("phase").get<std::string>(), optionalText(value, "reason") };
}

std::string describeDifference(const JsonValue& value)
{
    if (!value.is_object()) {
        return textOf(value);
    }
    return document::describe(document::FieldChange {
        optionalText(value, "field"), optionalText(value, "before"), optionalText(value, "after") });
}

} // namespace

std::vector<DocumentSummary> readDocumentList(std::string_view body)
{
    return list<DocumentSummary>(JsonValue::parse(body).at("documents"), [](const JsonValue& value) {
        return DocumentSummary { value.at("service").get<std::string>(), number(value, "revision"),
            optionalText(value, "team") };
    });
}

std::vector<RevisionRecord> readHistory(std::string_view body)
{
    return list<RevisionRecord>(JsonValue::parse(body).at("revisions"), [](const JsonValue& value) {
        return RevisionRecord { number(value, "revision"), value.at("appliedAtMs").get<std::int64_t>(),
            optionalText(value, "requestId") };
    });
}

Rollout readRollout(std::string_view body)
{
    const JsonValue answer = JsonValue::parse(body);
    return { number(answer, "revision"), list<NodeRollout>(answer.at("nodes"), [](const JsonValue& value) {
                return NodeRollout { value.at("node").get<std::string>(), number(value, "revision"),
                    value.at("inForce").get<bool>() };
            }) };
}

FleetStatus readStatus(std::string_view body)
{
    const JsonValue answer = JsonValue::parse(body);
    return { list<ServiceStatus>(answer.at("services"), readService), list<NodeStatus>(answer.at("nodes"), readNode),
        list<VmStatus>(answer.at("vms"), readVm), answer.value("maintenance", JsonValue::object()) };
}

std::uint64_t readAppliedRevision(std::string_view body) { return number(JsonValue::parse(body), "revision"); }

std::vector<document::Problem> readProblems(std::string_view body)
{
    return list<document::Problem>(JsonValue::parse(body).at("problems"), [](const JsonValue& value) {
        return document::Problem { optionalText(value, "file"), value.value("line", 0), value.value("column", 0),
            optionalText(value, "field"), value.at("cause").get<std::string>(), optionalText(value, "allowed") };
    });
}

Conflict readConflict(std::string_view body)
{
    const JsonValue answer = JsonValue::parse(body);
    Conflict conflict { number(answer, "revisionInForce"), std::nullopt };
    const JsonValue difference = answer.value("difference", JsonValue());
    if (difference.is_array()) {
        conflict.difference = list<std::string>(difference, describeDifference);
    } else if (!difference.is_null()) {
        conflict.difference = std::vector { textOf(difference) };
    }
    return conflict;
}

} // namespace crocuscove::cli
