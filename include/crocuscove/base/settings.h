#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuscove::base {

/// One setting, read from the flag `--<name>` or from the environment variable CROCUSCOVE_<NAME>. The flag wins.
struct Setting {
    std::string name;
    std::string help;
    /// What values are allowed, for help and error messages.
    std::string allowed;
    /// Takes the text of the value and throws InvalidInput with the cause when it is not allowed.
    std::function<void(std::string_view value)> apply;
    /// A setting without a value, such as --watch. `apply` gets "true".
    bool isSwitch = false;
};

/// Returns the name of the environment variable of a setting: data-folder gives CROCUSCOVE_DATA_FOLDER.
std::string environmentName(std::string_view settingName);

/// Reads the environment and then the flags into `settings`. Returns the positional arguments.
/// Throws InvalidInput that names the setting, the value and the allowed range.
std::vector<std::string> readSettings(const std::vector<Setting>& settings, const std::vector<std::string>& arguments,
    const std::function<const char*(const std::string& name)>& environment);

/// Returns the help text of the settings, a line or two each.
std::string describeSettings(const std::vector<Setting>& settings);

/// Parses a whole number in [minimum, maximum]. Throws InvalidInput.
std::int64_t parseInteger(std::string_view text, std::int64_t minimum, std::int64_t maximum);

/// A numeric IP address and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
    bool operator==(const Endpoint&) const = default;
};

/// Parses "IPv4:port" or "[IPv6]:port". Throws InvalidInput.
Endpoint parseEndpoint(std::string_view text);

} // namespace crocuscove::base
