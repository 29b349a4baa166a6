#pragma once

#include "crocuscove/base/enum_names.h"
#include "crocuscove/base/id.h"
#include "crocuscove/document/problem_list.h"
#include "crocuscove/document/yaml_tree.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuscove::document {

/// A value of a document with the path of its field. `place` is that of the key where the value is empty.
struct Field {
    const YamlNode* node = nullptr;
    Place place;
    std::string path;
};

/// Returns the value of `key` in a map for a report about it. The place is that of the map when the key is absent.
Field valueOf(const Field& map, std::string_view key);

/// Reads the keys of a map. Reports duplicate keys, missing keys and, in `finish`, unknown ones.
class MapReader {
public:
    MapReader(const Field& field, ProblemList& problems);

    std::optional<Field> required(std::string_view key);
    std::optional<Field> optional(std::string_view key);

    /// Returns all entries of a map whose keys are chosen by the author.
    [[nodiscard]] std::vector<std::pair<std::string, Field>> all() const;

    /// Reports the keys that nobody asked for.
    void finish() const;

private:
    struct Entry {
        std::string key;
        Place place;
        Field value;
    };

    void addEntry(const YamlEntry& entry);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    Field m_field;
    ProblemList& m_problems;
    bool m_isMap = false;
    std::vector<Entry> m_entries;
    std::unordered_map<std::string, Place> m_firstPlaces;
    std::vector<std::string> m_known;
};

// Each function reports a value of the wrong type or outside its range, and then returns nothing.

std::optional<std::string> readText(const Field& field, ProblemList& problems);
std::optional<bool> readBoolean(const Field& field, ProblemList& problems);
std::optional<std::int64_t> readInteger(
    const Field& field, std::int64_t minimum, std::int64_t maximum, ProblemList& problems);
std::optional<double> readDecimal(const Field& field, double minimum, double maximum, ProblemList& problems);
std::vector<Field> readList(const Field& field, std::size_t minimum, std::size_t maximum, ProblemList& problems);

/// Reads a text that must be a valid id.
std::optional<std::string> readIdText(const Field& field, ProblemList& problems);

template <typename Id> std::optional<Id> readId(const Field& field, ProblemList& problems)
{
    const auto text = readIdText(field, problems);
    return text ? std::optional(Id(*text)) : std::nullopt;
}

template <typename E, std::size_t size>
std::optional<E> readName(const Field& field, const base::EnumNames<E, size>& names, ProblemList& problems)
{
    const auto text = readText(field, problems);
    if (!text) {
        return std::nullopt;
    }
    const auto value = names.parse(*text);
    if (!value) {
        std::string allowed;
        for (const auto& [enumerator, name] : names.entries) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(name);
        }
        problems.add(field.place, field.path, "unknown value " + quoteForMessage(*text), allowed);
    }
    return value;
}

/// Applies `read` to the field, if it is present.
template <typename Read> auto readIfPresent(const std::optional<Field>& field, Read read) -> decltype(read(*field))
{
    return field ? read(*field) : decltype(read(*field)) {};
}

} // namespace crocuscove::document
