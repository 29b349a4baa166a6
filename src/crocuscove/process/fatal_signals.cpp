#include "fatal_signals.h"

#include <execinfo.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <string_view>

/// Where the program is loaded; defined by the linker.
extern "C" const char __executable_start; // NOLINT(readability-identifier-naming, bugprone-reserved-identifier)

namespace crocuscove::process {

namespace {

struct FatalSignal {
    int number = 0;
    const char* name = nullptr;
    /// The line up to the list of addresses, since a handler must not format one.
    std::string line;
};

/// Room for the handler when the stack of the process has overflowed.
constexpr std::size_t handlerStackBytes = std::size_t { 64 } * 1024;

constexpr std::size_t maxFrames = 24;
constexpr int hexBase = 16;

const http::LogOutput* output = nullptr;
std::array<FatalSignal, 5> signals { { { SIGSEGV, "SIGSEGV", {} }, { SIGBUS, "SIGBUS", {} }, { SIGFPE, "SIGFPE", {} },
    { SIGILL, "SIGILL", {} }, { SIGABRT, "SIGABRT", {} } } };
std::array<char, handlerStackBytes> handlerStack;

/// Writes the addresses of the stack, relative to the start of the program as addr2line takes them, and ends the line.
void writeStack()
{
    std::array<void*, maxFrames> frames {};
    const auto count = static_cast<std::size_t>(backtrace(frames.data(), static_cast<int>(frames.size())));
    for (std::size_t frame = 0; frame < count; ++frame) {
        std::array<char, 2 * sizeof(std::uintptr_t) + 1> text {};
        text[0] = frame == 0 ? '"' : ' ';
        const auto offset
            = reinterpret_cast<std::uintptr_t>(frames[frame]) - reinterpret_cast<std::uintptr_t>(&__executable_start);
        const auto end = std::to_chars(text.data() + 1, text.data() + text.size(), offset, hexBase);
        output->writeRaw({ text.data(), static_cast<std::size_t>(end.ptr - text.data()) });
    }
    output->writeRaw(count == 0 ? "\"\"}\n" : "\"}\n");
}

void onFatalSignal(int number)
{
    const auto* signal = std::ranges::find(signals, number, &FatalSignal::number);
    if (output != nullptr && signal != signals.end()) {
        output->writeLast(signal->line);
        writeStack();
    }
    // SA_RESETHAND has restored the default, so that this ends the process when the handler returns. A fault that only
    // repeats reaches no further system call, and a supervisor that collects output at system calls misses the line.
    static_cast<void>(raise(number));
}

} // namespace

FatalSignals::FatalSignals(const http::LogOutput& target, const std::string& name, const std::string& role)
{
    output = &target;
    // The first call loads a library, which a handler must not do.
    std::array<void*, 1> frame {};
    static_cast<void>(backtrace(frame.data(), 1));
    stack_t stack {};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    static_cast<void>(sigaltstack(&stack, nullptr));
    for (FatalSignal& signal : signals) {
        signal.line
            = fmt::format(R"({{"level":"error","event":"fatal_signal","node":"{}","role":"{}","signal":"{}","stack":)",
                name, role, signal.name);
        install(signal.number, signal.name);
    }
}

void FatalSignals::install(int number, const std::string& name)
{
    struct sigaction current { };
    struct sigaction action { };
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    const bool isFree = sigaction(number, nullptr, &current) == 0 && current.sa_handler == SIG_DFL;
    const bool isInstalled = isFree && sigaction(number, &action, nullptr) == 0;
    std::string& names = isInstalled ? m_handled : m_leftAlone;
    names += (names.empty() ? "" : " ") + name;
}

FatalSignals::~FatalSignals() { output = nullptr; }

} // namespace crocuscove::process
