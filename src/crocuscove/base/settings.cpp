#include "crocuscove/base/settings.h"

#include "crocuscove/base/error.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>

namespace crocuscove::base {

namespace {

// getopt_long returns this plus the index of the setting, out of the range of characters.
constexpr int firstOptionValue = 256;

void applyValue(const Setting& setting, std::string_view source, std::string_view value)
{
    try {
        setting.apply(value);
    } catch (const InvalidInput& error) {
        throw InvalidInput(
            fmt::format("{}: invalid value '{}': {}; allowed: {}", source, value, error.what(), setting.allowed));
    }
}

void readEnvironment(const Setting& setting, const std::function<const char*(const std::string&)>& environment)
{
    const std::string name = environmentName(setting.name);
    const char* value = environment(name);
    if (value == nullptr) {
        return;
    }
    if (!setting.isSwitch) {
        applyValue(setting, name, value);
    } else if (std::string_view(value) == "true") {
        setting.apply("true");
    } else if (std::string_view(value) != "false") {
        throw InvalidInput(fmt::format("{}: invalid value '{}'; allowed: true, false", name, value));
    }
}

std::vector<option> longOptions(const std::vector<Setting>& settings)
{
    std::vector<option> options;
    options.reserve(settings.size() + 1);
    int value = firstOptionValue;
    std::ranges::transform(settings, std::back_inserter(options), [&](const Setting& setting) {
        return option { setting.name.c_str(), setting.isSwitch ? no_argument : required_argument, nullptr, value++ };
    });
    options.push_back({ nullptr, 0, nullptr, 0 });
    return options;
}

[[noreturn]] void throwUnknownFlag(const std::string& argument, int optionCode)
{
    if (optionCode == ':') {
        throw InvalidInput(fmt::format("flag '{}' needs a value", argument));
    }
    throw InvalidInput(fmt::format("unknown flag '{}'; see --help", argument));
}

} // namespace

std::string environmentName(std::string_view settingName)
{
    std::string name = "CROCUSCOVE_";
    std::ranges::transform(settingName, std::back_inserter(name),
        [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return name;
}

std::vector<std::string> readSettings(const std::vector<Setting>& settings, const std::vector<std::string>& arguments,
    const std::function<const char*(const std::string& name)>& environment)
{
    std::ranges::for_each(settings, [&](const Setting& setting) { readEnvironment(setting, environment); });

    std::vector<std::string> storage { "crocuscove" };
    storage.insert(storage.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    std::ranges::transform(storage, std::back_inserter(argv), [](std::string& text) { return text.data(); });
    argv.push_back(nullptr);

    const std::vector<option> options = longOptions(settings);
    optind = 0; // Restarts the scan, since getopt keeps its position between calls.
    while (true) {
        const int code = getopt_long(static_cast<int>(storage.size()), argv.data(), ":", options.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (code < firstOptionValue) {
            throwUnknownFlag(argv[optind - 1], code);
        }
        const Setting& setting = settings[static_cast<std::size_t>(code - firstOptionValue)];
        applyValue(setting, "--" + setting.name, setting.isSwitch ? "true" : optarg);
    }
    return { argv.begin() + optind, argv.end() - 1 };
}

std::string describeSettings(const std::vector<Setting>& settings)
{
    std::string text;
    for (const Setting& setting : settings) {
        const std::string flag = "--" + setting.name + (setting.isSwitch ? "" : "=VALUE");
        text += fmt::format("  {:<28} {} [{}; {}]\n", flag, setting.help, setting.isSwitch ? "switch" : setting.allowed,
            environmentName(setting.name));
    }
    return text;
}

std::int64_t parseInteger(std::string_view text, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw InvalidInput("not a whole number");
    }
    if (value < minimum || value > maximum) {
        throw InvalidInput(fmt::format("outside {} to {}", minimum, maximum));
    }
    return value;
}

std::string Endpoint::text() const
{
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port) : fmt::format("[{}]:{}", host, port);
}

Endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw InvalidInput("the port is missing");
    }
    std::string host(text.substr(0, colon));
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr address {};
    const bool isTruncated = host.find('\0') != std::string::npos;
    if (isTruncated || inet_pton(isBracketed ? AF_INET6 : AF_INET, host.c_str(), &address) != 1) {
        throw InvalidInput("not a numeric IP address");
    }
    return { host, static_cast<std::uint16_t>(parseInteger(text.substr(colon + 1), 0, 65535)) };
}

} // namespace crocuscove::base
