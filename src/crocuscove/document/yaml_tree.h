#pragma once

#include "crocuscove/document/problem_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::document {

/// Bounds of a document's structure. The schema needs 4 levels and, with 870 teams, about 8,000 nodes.
inline constexpr std::size_t maxYamlDepth = 16;
inline constexpr std::size_t maxYamlNodes = 16384;

enum class YamlKind {
    Null,
    Scalar,
    Sequence,
    Map,
    Refused, // an alias, reported already
};

struct YamlEntry;

/// A node of a YAML text with its place. Unlike YAML::Node it keeps duplicate keys and whether a scalar was quoted.
struct YamlNode {
    YamlKind kind = YamlKind::Null;
    Place place;
    std::string text;
    bool isQuoted = false;
    std::vector<YamlNode> items;
    std::vector<YamlEntry> entries;
};

struct YamlEntry {
    YamlNode key;
    YamlNode value;
};

/// Reads the one YAML document in `text`. Returns nothing when the text can't be read to its end.
/// Aliases, anchors and explicit tags are reported, and reading goes on.
std::optional<YamlNode> readYaml(std::string_view text, ProblemList& problems);

} // namespace crocuscove::document
