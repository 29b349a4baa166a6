// The stand-ins and the cases of the review. `executor ...` runs one executor; `case NAME PROGRAM FOLDER RECORD` runs a
// case against the program, with its files in the folder, and ends with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. With TROUBLE=0 a case leaves its disruption out.

#include "cases.h"

#include <cstdio>

using namespace review;

namespace {

int runExecutor(char** words)
{
    ExecutorOptions options;
    options.id = words[0];
    options.service = words[1];
    options.rack = words[2];
    options.listen = parseAddress(words[3]);
    options.advertise = parseAddress(words[4]);
    std::string list = std::string(words[5]) + ",";
    for (std::size_t comma = list.find(','); comma != std::string::npos; comma = list.find(',')) {
        options.controls.push_back(parseAddress(list.substr(0, comma)));
        list.erase(0, comma + 1);
    }
    options.record = words[6];
    Executor(options).run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc == 9 && std::string(argv[1]) == "executor") {
        return runExecutor(argv + 2);
    }
    if (argc != 6 || std::string(argv[1]) != "case" || cases().count(argv[2]) == 0) {
        std::fprintf(stderr, "usage: %s case NAME PROGRAM FOLDER RECORD\n", argv[0]);
        return 2;
    }
    const char* const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    const std::string self = std::filesystem::canonical("/proc/self/exe");
    int result = 2;
    try {
        // Not destroyed before its processes have ended; its threads end with this process.
        System& system = *new System(argv[3], self, argv[4], argv[5]);
        try {
            result = cases().at(argv[2])(system, hasTrouble);
        } catch (const std::exception& error) {
            system.record().add("case", "can't run", { { "cause", error.what() } });
            std::printf("can't run: %s\n", error.what());
        }
        system.endProcesses();
        system.record().add("case", "result", { { "exit", result } });
    } catch (const std::exception& error) {
        std::printf("can't run: %s\n", error.what());
    }
    std::printf("exit %d\n", result);
    std::fflush(stdout);
    _exit(result);
}
