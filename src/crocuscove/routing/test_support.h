#pragma once

#include "crocuscove/routing/announcement.h"
#include "crocuscove/routing/dispatcher.h"

#include <string>
#include <vector>

namespace crocuscove::routing::testing {

inline base::MonotonicTime at(std::int64_t milliseconds)
{
    return base::MonotonicTime(base::Milliseconds(milliseconds));
}

inline Announcement announcement(const std::string& backend, std::uint64_t incarnation, std::uint64_t sequence)
{
    Announcement announcement;
    announcement.service = base::ServiceId("pricing");
    announcement.backend = base::BackendId(backend);
    announcement.host = "127.0.0.1";
    announcement.port = 9000;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.slots = 8;
    announcement.connections = 64;
    return announcement;
}

inline BackendView view(const std::string& backend, std::uint32_t slots = 8)
{
    BackendView view;
    view.backend = base::BackendId(backend);
    view.endpoint = { "127.0.0.1", 9000 };
    view.dataCentre = base::DataCentreId("dc-" + backend);
    view.rack = base::RackId("rack-" + backend);
    view.slots = slots;
    view.connections = 64;
    view.leaseDeadline = at(1000000000);
    return view;
}

inline document::RequestKind kind(document::WorkClass workClass, std::int64_t deadlineMs, bool isIdempotent)
{
    return { "kind", std::nullopt, "/", workClass, base::Milliseconds(deadlineMs), isIdempotent };
}

inline document::ServiceDocument serviceDocument(std::vector<document::RequestKind> kinds)
{
    document::ServiceDocument document;
    document.service = base::ServiceId("pricing");
    document.requests = std::move(kinds);
    return document;
}

template <typename T> std::vector<T> only(const Actions& actions)
{
    std::vector<T> chosen;
    for (const auto& action : actions) {
        if (const auto* one = std::get_if<T>(&action)) {
            chosen.push_back(*one);
        }
    }
    return chosen;
}

} // namespace crocuscove::routing::testing
