#pragma once

#include "crocuscove/routing/backend_view.h"
#include "crocuscove/routing/dispatcher.h"

#include <functional>
#include <memory>
#include <vector>

namespace crocuscove::bench {

enum class SchemeKind {
    FixedSplit,
    SlotLeases,
    BackendPull,
    TwoChoicesWithRefusal,
};

inline constexpr auto schemeNames = base::enumNames<SchemeKind>({
    { SchemeKind::FixedSplit, "fixed split" },
    { SchemeKind::SlotLeases, "slot leases" },
    { SchemeKind::BackendPull, "backend pull" },
    { SchemeKind::TwoChoicesWithRefusal, "two choices, refusal" },
});

/// How the slots of the backend servers of one service are shared among entry nodes.
class SlotScheme {
public:
    /// Calls the function after a delay of virtual time.
    using Later = std::function<void(base::Microseconds delay, std::function<void(base::MonotonicTime now)> run)>;
    /// The limits of a node changed.
    using Changed = std::function<void(std::size_t node)>;

    virtual ~SlotScheme() = default;
    [[nodiscard]] virtual std::vector<routing::SlotLimit> limits(std::size_t node) const = 0;
    /// Every 50 ms, with what each node uses and has queued.
    virtual void batch(
        base::MonotonicTime now, std::size_t node, const std::vector<routing::BackendUsage>& usage, std::size_t queued)
        = 0;
    /// After each event of a node, for schemes that act for each request.
    virtual void event(std::size_t node, std::size_t queued) = 0;
    /// The backend server ended a request.
    virtual void ended(std::size_t backend) = 0;
    /// The node got the answer, which frees a slot there.
    virtual void answered(std::size_t node, std::size_t backend) = 0;
    /// The backend server refuses beyond its slots.
    [[nodiscard]] virtual bool refuses() const { return false; }
    [[nodiscard]] virtual std::uint64_t messages() const = 0;
};

std::unique_ptr<SlotScheme> makeScheme(SchemeKind kind, std::size_t nodes,
    const std::vector<routing::BackendView>& views, base::Microseconds latency, SlotScheme::Later later,
    SlotScheme::Changed changed);

} // namespace crocuscove::bench
