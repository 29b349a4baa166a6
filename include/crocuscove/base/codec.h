#pragma once

#include "crocuscove/base/codec_fields.h"
#include "crocuscove/base/error.h"
#include "crocuscove/base/id.h"
#include "crocuscove/base/time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace crocuscove::base {

inline constexpr std::size_t maxCodecDepth = 32;

template <typename T>
concept HasCodecFields = requires(T& value)
{
    codecFields(value);
};

namespace detail {

template <typename Variant, std::size_t index = 0>
void decodeAlternative(const msgpack::object& object, std::size_t wanted, Variant& variant)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (wanted == index) {
            variant.template emplace<index>();
            object.convert(std::get<index>(variant));
        } else {
            decodeAlternative<Variant, index + 1>(object, wanted, variant);
        }
    } else {
        throw msgpack::type_error();
    }
}

} // namespace detail

} // namespace crocuscove::base

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <typename T> struct pack<T, std::enable_if_t<crocuscove::base::HasCodecFields<T>>> {
        template <typename Stream> packer<Stream>& operator()(packer<Stream>& out, const T& value) const
        {
            const auto members = codecFields(value);
            out.pack_array(std::tuple_size_v<decltype(members)>);
            std::apply([&](const auto&... member) { (out.pack(member), ...); }, members);
            return out;
        }
    };

    template <typename T> struct convert<T, std::enable_if_t<crocuscove::base::HasCodecFields<T>>> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const
        {
            auto members = codecFields(value);
            if (object.type != type::ARRAY || object.via.array.size != std::tuple_size_v<decltype(members)>) {
                throw msgpack::type_error();
            }
            const msgpack::object* next = object.via.array.ptr;
            std::apply([&](auto&... member) { ((next++)->convert(member), ...); }, members);
            return object;
        }
    };

    template <typename Tag> struct pack<crocuscove::base::Id<Tag>> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const crocuscove::base::Id<Tag>& id) const
        {
            return out.pack(id.text());
        }
    };

    /// An empty text stands for an unset id.
    template <typename Tag> struct convert<crocuscove::base::Id<Tag>> {
        const msgpack::object& operator()(const msgpack::object& object, crocuscove::base::Id<Tag>& id) const
        {
            auto text = object.as<std::string>();
            id = text.empty() ? crocuscove::base::Id<Tag>() : crocuscove::base::Id<Tag>(std::move(text));
            return object;
        }
    };

    template <> struct pack<crocuscove::base::WallTime> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const crocuscove::base::WallTime& time) const
        {
            return out.pack(static_cast<std::int64_t>(time.time_since_epoch().count()));
        }
    };

    template <> struct convert<crocuscove::base::WallTime> {
        const msgpack::object& operator()(const msgpack::object& object, crocuscove::base::WallTime& time) const
        {
            time = crocuscove::base::WallTime(crocuscove::base::Milliseconds(object.as<std::int64_t>()));
            return object;
        }
    };

    template <typename T> struct pack<T, std::enable_if_t<std::is_enum_v<T>>> {
        template <typename Stream> packer<Stream>& operator()(packer<Stream>& out, const T& value) const
        {
            return out.pack(static_cast<std::uint32_t>(value));
        }
    };

    template <typename T> struct convert<T, std::enable_if_t<std::is_enum_v<T>>> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const
        {
            value = static_cast<T>(object.as<std::uint32_t>());
            return object;
        }
    };

    template <typename... Alternatives> struct pack<std::variant<Alternatives...>> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const std::variant<Alternatives...>& variant) const
        {
            out.pack_array(2);
            out.pack(static_cast<std::uint32_t>(variant.index()));
            std::visit([&](const auto& value) { out.pack(value); }, variant);
            return out;
        }
    };

    template <typename... Alternatives> struct convert<std::variant<Alternatives...>> {
        const msgpack::object& operator()(const msgpack::object& object, std::variant<Alternatives...>& variant) const
        {
            if (object.type != type::ARRAY || object.via.array.size != 2) {
                throw msgpack::type_error();
            }
            const auto index = object.via.array.ptr[0].as<std::uint32_t>();
            crocuscove::base::detail::decodeAlternative(object.via.array.ptr[1], index, variant);
            return object;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace crocuscove::base {

/// Encodes a value as MessagePack.
template <typename T> std::string encode(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

/// Decodes a value that fills `bytes` exactly. Throws Error on malformed bytes.
template <typename T> T decode(std::string_view bytes)
{
    try {
        // Element counts are bounded by the input's size, since each element takes at least one byte.
        const msgpack::unpack_limit limit(
            bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maxCodecDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            throw Error("encoded value has trailing bytes");
        }
        T value {};
        handle.get().convert(value);
        return value;
    } catch (const Error&) {
        throw;
    } catch (const std::exception& error) {
        throw Error(std::string("malformed encoded value: ") + error.what());
    }
}

} // namespace crocuscove::base
