#include "crocuscove/document/field_reader.h"

#include "crocuscove/base/error.h"
#include "crocuscove/base/settings.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>

namespace crocuscove::document {

namespace {

std::string_view kindName(const YamlNode& node)
{
    switch (node.kind) {
    case YamlKind::Null:
        return "nothing";
    case YamlKind::Scalar:
        return node.isQuoted ? "quoted text" : "text";
    case YamlKind::Sequence:
        return "a list";
    case YamlKind::Map:
        return "a map";
    case YamlKind::Refused:
        return "an alias";
    }
    return "unknown";
}

/// Reports a value of another type. Aliases have been reported already.
void addWrongType(const Field& field, std::string_view expected, std::string_view allowed, ProblemList& problems)
{
    if (field.node->kind == YamlKind::Refused) {
        return;
    }
    const bool isScalar = field.node->kind == YamlKind::Scalar;
    const std::string found = isScalar ? fmt::format("{} {}", kindName(*field.node), quoteForMessage(field.node->text))
                                       : std::string(kindName(*field.node));
    problems.add(field.place, field.path, fmt::format("expected {}, found {}", expected, found), std::string(allowed));
}

bool isPlainScalar(const YamlNode& node) { return node.kind == YamlKind::Scalar && !node.isQuoted; }

bool isDigits(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

/// Decimal digits without leading zeros, since YAML 1.1 and 1.2 disagree about 010.
bool isWholeNumber(std::string_view text)
{
    if (text.starts_with('-')) {
        text.remove_prefix(1);
    }
    return isDigits(text) && (text.size() == 1 || text.front() != '0');
}

bool isDecimalNumber(std::string_view text)
{
    const auto point = text.find('.');
    return isWholeNumber(text.substr(0, point))
        && (point == std::string_view::npos || isDigits(text.substr(point + 1)));
}

Field childField(const YamlNode& node, Place keyPlace, std::string path)
{
    return { &node, node.kind == YamlKind::Null ? keyPlace : node.place, std::move(path) };
}

} // namespace

Field valueOf(const Field& map, std::string_view key)
{
    const auto& entries = map.node->entries;
    const std::string path = fmt::format("{}.{}", map.path, key);
    const auto entry = std::ranges::find_if(entries, [&](const YamlEntry& e) { return e.key.text == key; });
    return entry == entries.end() ? Field { map.node, map.place, path }
                                  : childField(entry->value, entry->key.place, path);
}

MapReader::MapReader(const Field& field, ProblemList& problems)
    : m_field(field)
    , m_problems(problems)
    , m_isMap(field.node->kind == YamlKind::Map)
{
    if (!m_isMap) {
        addWrongType(field, "a map", "a map of keys to values", problems);
        return;
    }
    std::ranges::for_each(field.node->entries, [this](const YamlEntry& entry) { addEntry(entry); });
}

void MapReader::addEntry(const YamlEntry& entry)
{
    if (entry.key.kind != YamlKind::Scalar) {
        m_problems.add(entry.key.place, m_field.path, fmt::format("the key is {}", kindName(entry.key)), "a name");
        return;
    }
    const std::string& key = entry.key.text;
    const auto [first, isNew] = m_firstPlaces.emplace(key, entry.key.place);
    if (!isNew) {
        m_problems.add(entry.key.place, pathOf(key), fmt::format("duplicate key, first on line {}", first->second.line),
            "each key once");
        return;
    }
    m_entries.push_back({ key, entry.key.place, childField(entry.value, entry.key.place, pathOf(key)) });
}

std::string MapReader::pathOf(std::string_view key) const
{
    constexpr std::size_t maxKeyCharacters = 64;
    const std::string name = escapeForMessage(key.substr(0, maxKeyCharacters));
    return m_field.path == wholeDocument ? name : fmt::format("{}.{}", m_field.path, name);
}

std::optional<Field> MapReader::required(std::string_view key)
{
    auto field = optional(key);
    if (!field && m_isMap) {
        m_problems.add(m_field.place, pathOf(key), "missing", "a value");
    }
    return field;
}

std::optional<Field> MapReader::optional(std::string_view key)
{
    m_known.emplace_back(key);
    const auto entry = std::ranges::find(m_entries, key, &Entry::key);
    return entry == m_entries.end() ? std::nullopt : std::optional(entry->value);
}

std::vector<std::pair<std::string, Field>> MapReader::all() const
{
    std::vector<std::pair<std::string, Field>> fields;
    std::ranges::transform(
        m_entries, std::back_inserter(fields), [](const Entry& entry) { return std::pair(entry.key, entry.value); });
    return fields;
}

void MapReader::finish() const
{
    for (const Entry& entry : m_entries) {
        if (std::ranges::find(m_known, entry.key) == m_known.end()) {
            m_problems.add(entry.place, entry.value.path, "unknown key", fmt::format("{}", fmt::join(m_known, ", ")));
        }
    }
}

std::optional<std::string> readText(const Field& field, ProblemList& problems)
{
    if (field.node->kind != YamlKind::Scalar) {
        addWrongType(field, "text", "text", problems);
        return std::nullopt;
    }
    return field.node->text;
}

std::optional<bool> readBoolean(const Field& field, ProblemList& problems)
{
    if (!isPlainScalar(*field.node) || (field.node->text != "true" && field.node->text != "false")) {
        addWrongType(field, "true or false", "true, false", problems);
        return std::nullopt;
    }
    return field.node->text == "true";
}

std::optional<std::int64_t> readInteger(
    const Field& field, std::int64_t minimum, std::int64_t maximum, ProblemList& problems)
{
    const std::string allowed = fmt::format("{} to {}", minimum, maximum);
    if (!isPlainScalar(*field.node) || !isWholeNumber(field.node->text)) {
        addWrongType(field, "a whole number", allowed, problems);
        return std::nullopt;
    }
    try {
        return base::parseInteger(field.node->text, minimum, maximum);
    } catch (const base::InvalidInput&) {
        problems.add(field.place, field.path, quoteForMessage(field.node->text) + " is out of range", allowed);
        return std::nullopt;
    }
}

std::optional<double> readDecimal(const Field& field, double minimum, double maximum, ProblemList& problems)
{
    const std::string allowed = fmt::format("{} to {}", minimum, maximum);
    if (!isPlainScalar(*field.node) || !isDecimalNumber(field.node->text)) {
        addWrongType(field, "a number", allowed, problems);
        return std::nullopt;
    }
    const std::string& text = field.node->text;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < minimum || value > maximum) {
        problems.add(field.place, field.path, quoteForMessage(text) + " is out of range", allowed);
        return std::nullopt;
    }
    return value;
}

std::vector<Field> readList(const Field& field, std::size_t minimum, std::size_t maximum, ProblemList& problems)
{
    const std::string allowed = fmt::format("a list of {} to {} items", minimum, maximum);
    if (field.node->kind != YamlKind::Sequence) {
        addWrongType(field, "a list", allowed, problems);
        return {};
    }
    const std::vector<YamlNode>& items = field.node->items;
    if (items.size() < minimum || items.size() > maximum) {
        problems.add(field.place, field.path, fmt::format("the list has {} items", items.size()), allowed);
    }
    std::vector<Field> fields;
    for (std::size_t index = 0; index < std::min(items.size(), maximum); ++index) {
        fields.push_back(childField(items[index], field.place, fmt::format("{}[{}]", field.path, index)));
    }
    return fields;
}

std::optional<std::string> readIdText(const Field& field, ProblemList& problems)
{
    auto text = readText(field, problems);
    if (text && !base::isValidId(*text)) {
        problems.add(field.place, field.path, "bad id " + quoteForMessage(*text), std::string(base::idFormat));
        return std::nullopt;
    }
    return text;
}

} // namespace crocuscove::document
