#pragma once

#include "crocuscove/base/random.h"
#include "crocuscove/document/service_document.h"
#include "crocuscove/routing/actions.h"
#include "crocuscove/routing/backend_view.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace crocuscove::routing {

/// How an attempt ended.
enum class AttemptEnd {
    /// A complete answer that is not a server error.
    Answered,
    /// A complete answer with status 500, 502, 503 or 504 without the refusal header.
    ServerError,
    /// Status 503 with Crocuscove-Refused: the backend server did not start it.
    Refused,
    /// No byte of the request was sent.
    ConnectFailed,
    /// Bytes were sent and no complete, matching answer arrived.
    Broken,
};

inline constexpr auto attemptEndNames = base::enumNames<AttemptEnd>({
    { AttemptEnd::Answered, "answered" },
    { AttemptEnd::ServerError, "server-error" },
    { AttemptEnd::Refused, "refused" },
    { AttemptEnd::ConnectFailed, "connect-failed" },
    { AttemptEnd::Broken, "broken" },
});

/// A request as it arrives from a client.
struct Request {
    RequestId id = 0;
    /// Position of the request kind in the document in force.
    std::size_t kind = 0;
    base::TeamId client;
    /// Without one, the deadline of the request kind counts from the arrival.
    std::optional<base::MonotonicTime> deadline;
};

struct AttemptResult {
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Answered;
};

struct DispatcherOptions {
    /// Data centre of this entry node.
    base::DataCentreId dataCentre;
    /// Share of the slots kept for short work.
    double shortReserve = 0.25;
    /// Largest such share. While short work arrives that needs more than shortReserve, more is kept for it.
    double maxShortReserve = 0.85;
    /// Slots kept for each slot that the short work of late needs. Below the saturation of its slots short work waits
    /// little.
    double shortHeadroom = 1.5;
    /// Time over which the need of short work is averaged.
    base::Milliseconds shortNeedPeriod { 250 };
    /// Share of the slots that stragglers may hold.
    double stragglerShare = 0.5;
    /// Retries for each first attempt, over time.
    double retryBudget = 0.1;
    /// Retries that may be made in one burst.
    double retryBurst = 10.0;
    std::uint32_t maxAttempts = 4;
    base::Milliseconds retryBackoff { 5 };
    base::Milliseconds maxRetryBackoff { 500 };
    base::Milliseconds slowStart { 10000 };
    /// A kind whose median run time is far beyond this is long, one far below it short, whatever it declares. A kind
    /// declared patient stays patient, as that states that it may wait.
    base::Milliseconds shortRunTime { 200 };
    /// A request that runs this many times the median of its kind is a straggler.
    double stragglerFactor = 4.0;
    /// Slots that long and patient work get even while short work waits.
    double longFloor = 0.1;
    double patientFloor = 0.05;
    /// Waits after which these floors apply.
    base::Milliseconds longAge { 1000 };
    base::Milliseconds patientAge { 2000 };
};

/// Use of one backend server by this entry node.
struct BackendUsage {
    base::BackendId backend;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;

    bool operator==(const BackendUsage&) const = default;
};

/// Admission, queues, choice of backend server and retries of one service on one entry node. Pure: the caller gives
/// the time, applies the returned actions, and calls tick at nextDeadline.
class Dispatcher {
public:
    Dispatcher(document::ServiceDocument document, DispatcherOptions options, base::Random random);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    /// Takes a request whose id is not in use.
    [[nodiscard]] Actions arrive(base::MonotonicTime now, const Request& request);
    /// Takes the end of an attempt. An unknown attempt is ignored.
    [[nodiscard]] Actions finish(base::MonotonicTime now, const AttemptResult& result);
    /// The client of the request has gone. An unknown request is ignored.
    [[nodiscard]] Actions cancel(base::MonotonicTime now, RequestId request);
    /// Puts a new document in force. Requests that have arrived keep the terms they arrived under.
    [[nodiscard]] Actions updateDocument(base::MonotonicTime now, document::ServiceDocument document);
    /// Replaces the known backend servers. Attempts at a backend server that is not listed go on.
    [[nodiscard]] Actions updateBackends(base::MonotonicTime now, const std::vector<BackendView>& backends);
    /// Replaces the slot limits. A backend server that is not listed has none.
    [[nodiscard]] Actions updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits);
    /// Applies everything that is due.
    [[nodiscard]] Actions tick(base::MonotonicTime now);
    /// The moment at which tick has something to do.
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t inFlight() const;
    /// In-flight requests and limit of every backend server that is listed or still has requests in flight.
    [[nodiscard]] std::vector<BackendUsage> usage() const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

/// Slot limits of the fixed split: floor(slots / entryNodes) at each backend server, at least 0.
std::vector<SlotLimit> fixedSplit(const std::vector<BackendView>& backends, std::size_t entryNodes);

} // namespace crocuscove::routing
