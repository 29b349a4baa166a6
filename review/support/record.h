// The record of a case: one JSON line for each thing sent, answered and run, by all processes of the case.
#pragma once

#include "net.h"

#include <fcntl.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::ordered_json;

class Record {
public:
    explicit Record(const std::string& path)
        : m_fd(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }

    void add(const std::string& who, const std::string& event, const Json& details = Json::object()) const
    {
        Json line { { "atMs", unixMs() }, { "who", who }, { "event", event } };
        line.update(details);
        const std::string text = line.dump() + "\n";
        static_cast<void>(!write(m_fd, text.data(), text.size()));
    }

private:
    int m_fd;
};

} // namespace review
