#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace crocuscove::base {

/// Table of the external names of an enumeration. Each enumerator occurs once.
template <typename E, std::size_t size> struct EnumNames {
    std::array<std::pair<E, std::string_view>, size> entries;

    /// Returns the name of `value`, or "unknown" for a value that the table lacks.
    [[nodiscard]] constexpr std::string_view name(E value) const
    {
        const auto entry = std::ranges::find(entries, value, &std::pair<E, std::string_view>::first);
        return entry == entries.end() ? "unknown" : entry->second;
    }

    /// Returns the enumerator called `text`, or nothing.
    [[nodiscard]] constexpr std::optional<E> parse(std::string_view text) const
    {
        const auto entry = std::ranges::find(entries, text, &std::pair<E, std::string_view>::second);
        return entry == entries.end() ? std::nullopt : std::optional(entry->first);
    }
};

template <typename E, std::size_t size>
EnumNames(std::array<std::pair<E, std::string_view>, size>) -> EnumNames<E, size>;

/// Builds a table from a braced list of {enumerator, name} pairs.
template <typename E, std::size_t size>
constexpr EnumNames<E, size> enumNames(const std::pair<E, std::string_view> (&entries)[size])
{
    return { std::to_array(entries) };
}

} // namespace crocuscove::base
