#pragma once

#include "crocuscove/base/error.h"
#include "crocuscove/base/id.h"
#include "crocuscove/consensus/entry.h"

#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace crocuscove::consensus {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Reads the fields of a msgpack array in order. Throws base::Error for a wrong type or a value out of range.
class Fields {
public:
    Fields(const msgpack::object& object, std::size_t count)
        : m_array(array(object, count))
    {
        if (m_array.size != count) {
            throw base::Error("wrong number of fields");
        }
    }

    const msgpack::object& next() { return m_array.ptr[m_position++]; }

    std::uint64_t number(std::uint64_t maximum)
    {
        const msgpack::object& object = next();
        if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > maximum) {
            throw base::Error("a number is out of range");
        }
        return object.via.u64;
    }

    std::uint64_t anyNumber() { return number(~std::uint64_t { 0 }); }

    bool boolean()
    {
        const msgpack::object& object = next();
        if (object.type != msgpack::type::BOOLEAN) {
            throw base::Error("a truth value is missing");
        }
        return object.via.boolean;
    }

    std::string text(std::size_t maxBytes) { return asText(next(), maxBytes); }

    base::NodeId node() { return asNode(next()); }

    /// Checks that `object` is an array of at most `maxSize` elements.
    static msgpack::object_array array(const msgpack::object& object, std::size_t maxSize)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size > maxSize) {
            throw base::Error("expected an array within the size limit");
        }
        return object.via.array;
    }

    /// An empty id stands for "none".
    static base::NodeId asNode(const msgpack::object& object)
    {
        std::string id = asText(object, base::maxIdCharacters);
        return id.empty() ? base::NodeId() : base::NodeId(std::move(id));
    }

private:
    static std::string asText(const msgpack::object& object, std::size_t maxBytes)
    {
        if (object.type != msgpack::type::STR || object.via.str.size > maxBytes) {
            throw base::Error("expected a string within the size limit");
        }
        return { object.via.str.ptr, object.via.str.size };
    }

    msgpack::object_array m_array;
    std::size_t m_position = 0;
};

/// Decodes exactly one msgpack value. Throws base::Error when `bytes` is malformed or has trailing bytes.
msgpack::object_handle unpackWhole(std::string_view bytes);

void packMembership(Packer& packer, const Membership& membership);

/// Throws base::Error.
Membership unpackMembership(const msgpack::object& object);

} // namespace crocuscove::consensus
