#pragma once

#include <tuple>

/// Lists the members of a struct for the codec, such as CROCUSCOVE_FIELDS(Point, v.x, v.y). The order is the wire
/// format. Whoever encodes or decodes includes codec.h, whose library takes much of the time to compile a file.
// NOLINTNEXTLINE(bugprone-macro-parentheses)
#define CROCUSCOVE_FIELDS(Type, ...)                                                                                   \
    inline auto codecFields(Type& v) { return std::tie(__VA_ARGS__); }                                                 \
    inline auto codecFields(const Type& v) { return std::tie(__VA_ARGS__); }
