#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace crocuscove::base {

inline constexpr std::size_t maxIdCharacters = 63;

/// What an id must look like, for error messages.
inline constexpr std::string_view idFormat = "1-63 characters of a-z, 0-9 and '-', starting with a letter";

/// Tells whether `text` is a valid id: the label format of RFC 1123, starting with a letter.
bool isValidId(std::string_view text);

/// Throws InvalidInput unless `text` is a valid id. `what` names the kind of id in the message.
void requireValidId(std::string_view text, std::string_view what);

/// A checked id. `Tag` keeps ids of different things apart and names the kind by `Tag::name`.
template <typename Tag> class Id {
public:
    Id() = default;

    /// Throws InvalidInput when `text` is not a valid id.
    explicit Id(std::string text)
        : m_text(std::move(text))
    {
        requireValidId(m_text, Tag::name);
    }

    [[nodiscard]] const std::string& text() const { return m_text; }
    [[nodiscard]] bool empty() const { return m_text.empty(); }

    // The linter takes the comparison with 0 that the compiler generates for a null pointer.
    auto operator<=>(const Id&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const Id&) const = default;

private:
    std::string m_text;
};

template <typename Tag> std::ostream& operator<<(std::ostream& out, const Id<Tag>& id) { return out << id.text(); }

// clang-format off
struct ServiceTag { static constexpr std::string_view name = "service"; };
struct TeamTag { static constexpr std::string_view name = "team"; };
struct PoolTag { static constexpr std::string_view name = "pool"; };
struct VmTag { static constexpr std::string_view name = "VM"; };
struct DataCentreTag { static constexpr std::string_view name = "data centre"; };
struct RackTag { static constexpr std::string_view name = "rack"; };
struct NodeTag { static constexpr std::string_view name = "node"; };
struct BackendTag { static constexpr std::string_view name = "backend server"; };
struct WorkerTag { static constexpr std::string_view name = "worker"; };
struct JobTag { static constexpr std::string_view name = "job"; };
struct ClusterTag { static constexpr std::string_view name = "cluster"; };
// clang-format on

using ServiceId = Id<ServiceTag>;
using TeamId = Id<TeamTag>;
using PoolId = Id<PoolTag>;
using VmId = Id<VmTag>;
using DataCentreId = Id<DataCentreTag>;
using RackId = Id<RackTag>;
using NodeId = Id<NodeTag>;
using BackendId = Id<BackendTag>;
using WorkerId = Id<WorkerTag>;
using JobId = Id<JobTag>;
using ClusterId = Id<ClusterTag>;

} // namespace crocuscove::base

template <typename Tag> struct std::hash<crocuscove::base::Id<Tag>> {
    std::size_t operator()(const crocuscove::base::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.text());
    }
};
