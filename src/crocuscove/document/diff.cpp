#include "crocuscove/document/diff.h"

#include "crocuscove/document/flatten.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <unordered_set>

namespace crocuscove::document {

namespace {

using ValueByField = std::unordered_map<std::string, std::string>;

ValueByField indexOf(const std::vector<FlatField>& fields)
{
    ValueByField index;
    std::ranges::transform(fields, std::inserter(index, index.end()),
        [](const FlatField& field) { return std::pair(field.field, field.value); });
    return index;
}

std::vector<std::string> requestNames(const Document& document)
{
    std::vector<std::string> names;
    if (const auto* service = std::get_if<ServiceDocument>(&document)) {
        std::ranges::transform(service->requests, std::back_inserter(names), &RequestKind::name);
    }
    return names;
}

std::vector<std::string> onlyThoseIn(const std::vector<std::string>& names, const std::vector<std::string>& other)
{
    const std::unordered_set<std::string> known(other.begin(), other.end());
    std::vector<std::string> common;
    std::ranges::copy_if(
        names, std::back_inserter(common), [&](const std::string& name) { return known.contains(name); });
    return common;
}

/// The order of requests decides which one matches, so a new order of the ones kept is a change.
void addOrderChange(const Document& before, const Document& after, std::vector<FieldChange>& changes)
{
    const std::vector<std::string> namesBefore = requestNames(before);
    const std::vector<std::string> namesAfter = requestNames(after);
    if (onlyThoseIn(namesBefore, namesAfter) != onlyThoseIn(namesAfter, namesBefore)) {
        changes.push_back({ "requests", fmt::format("{}", fmt::join(namesBefore, ", ")),
            fmt::format("{}", fmt::join(namesAfter, ", ")) });
    }
}

} // namespace

std::vector<FieldChange> diffDocuments(const Document& before, const Document& after)
{
    const std::vector<FlatField> fieldsBefore = flatten(before);
    const std::vector<FlatField> fieldsAfter = flatten(after);
    const ValueByField indexBefore = indexOf(fieldsBefore);
    const ValueByField indexAfter = indexOf(fieldsAfter);

    std::vector<FieldChange> changes;
    for (const auto& [field, value] : fieldsBefore) {
        const auto other = indexAfter.find(field);
        const std::string valueAfter = other == indexAfter.end() ? "" : other->second;
        if (value != valueAfter) {
            changes.push_back({ field, value, valueAfter });
        }
    }
    addOrderChange(before, after, changes);
    for (const auto& [field, value] : fieldsAfter) {
        if (!indexBefore.contains(field)) {
            changes.push_back({ field, "", value });
        }
    }
    return changes;
}

std::string describe(const FieldChange& change)
{
    if (change.before.empty()) {
        return fmt::format("+ {}: {}", change.field, change.after);
    }
    if (change.after.empty()) {
        return fmt::format("- {}: {}", change.field, change.before);
    }
    return fmt::format("~ {}: {} -> {}", change.field, change.before, change.after);
}

std::string describe(const std::vector<FieldChange>& changes)
{
    std::string text;
    std::ranges::for_each(changes, [&](const FieldChange& change) { text += describe(change) + "\n"; });
    return text;
}

} // namespace crocuscove::document
