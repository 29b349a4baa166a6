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
    /// A complete response that is not a server error.
    Answered,
    /// A complete response with status 500, 502, 503 or 504 and without the header Crocuscove-Refused.
    ServerError,
    /// Status 503 with Crocuscove-Refused: the backend server did not start the request.
    Refused,
    /// No byte of the request was sent.
    ConnectFailed,
    /// Bytes of the request were sent and no complete, matching response arrived.
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
    /// Index of the request kind in the current document.
    std::size_t kind = 0;
    base::TeamId client;
    /// If not set, the deadline of the request kind applies, counted from the arrival.
    std::optional<base::MonotonicTime> deadline;
};

struct AttemptResult {
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Answered;
};

struct DispatcherOptions {
    /// Data centre of this entry node. Backend servers there are preferred.
    base::DataCentreId dataCentre;
    /// Share of the slots, 0 to 1, that is always reserved for short work.
    double shortReserve = 0.25;
    /// Upper bound on the share reserved for short work. The reserve grows beyond shortReserve with the recent demand
    /// of short work.
    double maxShortReserve = 0.85;
    /// Slots reserved for each slot of recent short demand. The headroom keeps the utilisation of these slots below
    /// saturation, where short work waits little.
    double shortHeadroom = 1.5;
    /// Time constant of the moving average of the demand of short work.
    base::Milliseconds shortDemandPeriod { 250 };
    /// Share of the slots, 0 to 1, that stragglers may occupy before no further long or patient work starts.
    double stragglerShare = 0.5;
    /// Retry tokens added for each first attempt. Each retry takes one token.
    double retryBudget = 0.1;
    /// Capacity of the token bucket for retries, and so the largest burst of retries.
    double retryBurst = 10.0;
    std::uint32_t maxAttempts = 4;
    base::Milliseconds retryBackoff { 5 };
    base::Milliseconds maxRetryBackoff { 500 };
    base::Milliseconds slowStart { 10000 };
    /// A request kind with a median run time far above this value is treated as long, and one far below it as short,
    /// whatever it declares. A kind declared patient stays patient, because the declaration states that it may wait.
    base::Milliseconds shortRunTime { 200 };
    /// A request is a straggler once it has run for this multiple of the median run time of its kind.
    double stragglerFactor = 4.0;
    /// Shares of the slots, 0 to 1, that long and patient work get even while short work is queued.
    double minLongShare = 0.1;
    double minPatientShare = 0.05;
    /// Times without a dispatch after which these minimum shares apply.
    base::Milliseconds maxLongWait { 1000 };
    base::Milliseconds maxPatientWait { 2000 };
};

/// Requests in flight and slot limit of this entry node at one backend server.
struct BackendUsage {
    base::BackendId backend;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;

    bool operator==(const BackendUsage&) const = default;
};

/// Admission control, queueing, load balancing and retries for one service on one entry node. It does no I/O and reads
/// no clock: the caller passes the time, applies the returned actions, and calls tick at nextDeadline.
class Dispatcher {
public:
    Dispatcher(document::ServiceDocument document, DispatcherOptions options, base::Random random);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    /// Admits or refuses a request. Throws base::Error if its id is in use.
    [[nodiscard]] Actions arrive(base::MonotonicTime now, const Request& request);
    /// Applies the result of an attempt. An unknown attempt is ignored.
    [[nodiscard]] Actions finish(base::MonotonicTime now, const AttemptResult& result);
    /// Cancels a request whose client disconnected. An unknown request is ignored.
    [[nodiscard]] Actions cancel(base::MonotonicTime now, RequestId request);
    /// Replaces the service document. Admitted requests keep the deadline and the request kind of their arrival.
    [[nodiscard]] Actions updateDocument(base::MonotonicTime now, document::ServiceDocument document);
    /// Replaces the known backend servers. Running attempts at a backend server that is no longer listed continue.
    [[nodiscard]] Actions updateBackends(base::MonotonicTime now, const std::vector<BackendView>& backends);
    /// Replaces the slot limits. A backend server without a limit in the list has no slots.
    [[nodiscard]] Actions updateSlots(base::MonotonicTime now, const std::vector<SlotLimit>& limits);
    /// Applies expired deadlines and timers, and dispatches queued requests.
    [[nodiscard]] Actions tick(base::MonotonicTime now);
    /// Returns the time at which tick must be called next, if any.
    [[nodiscard]] std::optional<base::MonotonicTime> nextDeadline() const;

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t inFlight() const;
    /// Returns the usage of every backend server that is listed or still has requests in flight.
    [[nodiscard]] std::vector<BackendUsage> usage() const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

/// Returns slot limits that divide the slots of each backend server evenly: floor(slots / entryNodes).
std::vector<SlotLimit> fixedSplit(const std::vector<BackendView>& backends, std::size_t entryNodes);

} // namespace crocuscove::routing
