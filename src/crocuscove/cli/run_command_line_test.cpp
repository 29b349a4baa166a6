#include "crocuscove/cli/command.h"
#include "crocuscove/cli/testing.h"

#include <set>

namespace crocuscove::cli {
namespace {

// Guards against wrong usage that ends with another exit code than 2, or without naming what is wrong.
TEST(CommandLine, WrongUsageIsNamed)
{
    struct Usage {
        std::vector<std::string> arguments;
        std::string message;
    };
    const std::vector<Usage> usages {
        { {}, "a command is missing" },
        { { "bogus" }, "unknown command 'bogus'" },
        { { "check" }, "FILE is missing; usage: crocuscove check FILE" },
        { { "check", "a", "b" }, "unexpected argument 'b'" },
        { { "check", "a", "--bogus" }, "unknown flag '--bogus'" },
        { { "list", "--output=xml" }, "--output: invalid value 'xml': unknown format; allowed: text, json" },
        { { "list", "--server=localhost:1" }, "--server: invalid value 'localhost:1'" },
        { { "list", "--server=127.0.0.1:0" }, "--server: invalid value '127.0.0.1:0': port 0" },
        { { "list", "--timeout-ms=0" }, "--timeout-ms: invalid value '0': outside 1 to 3600000" },
        { { "get", "Pricing" }, "service" },
        { { "get", "pricing", "--revision=0" }, "--revision: invalid value '0'" },
        { { "apply", "x", "--request-id=a/b" }, "--request-id: invalid value 'a/b'" },
        { { "check", "/nonexistent/x.yaml" }, "file '/nonexistent/x.yaml' can't be read: No such file" },
        { { "check", "/" }, "file '/' can't be read: Is a directory" },
    };
    for (const Usage& usage : usages) {
        const RunResult result = runCli(usage.arguments);
        EXPECT_EQ(result.code, 2) << usage.message;
        EXPECT_NE(result.err.find(usage.message), std::string::npos) << result.err;
        EXPECT_EQ(std::ranges::count(result.err, '\n'), 1) << result.err;
        EXPECT_EQ(result.out, "");
    }
}

// Guards against settings that the environment can't set, and against CROCUSCOVE_VERSION of a build script.
TEST(CommandLine, EnvironmentSetsFlags)
{
    const RunResult result = runCli({ "list" }, { { "CROCUSCOVE_SERVER", "nowhere" } });
    EXPECT_EQ(result.code, 2);
    EXPECT_NE(result.err.find("CROCUSCOVE_SERVER: invalid value 'nowhere'"), std::string::npos) << result.err;
    EXPECT_EQ(runCli({ "version", "--output=json" }, { { "CROCUSCOVE_VERSION", "1.2" } }).code, 0);
    EXPECT_EQ(runCli({ "version" }, { { "CROCUSCOVE_OUTPUT", "json" } }).out, "{\"version\":\"0.1.0\"}\n");
}

// Guards against commands without --help or --version, and against help that a wrong setting hides.
TEST(CommandLine, EveryCommandHasHelpAndVersion)
{
    for (const Command& command : commandTable()) {
        const std::string name(command.spec.name);
        const RunResult help = runCli({ name, "--help" }, { { "CROCUSCOVE_OUTPUT", "xml" } });
        EXPECT_EQ(help.code, 0);
        EXPECT_NE(help.out.find("usage: crocuscove " + name), std::string::npos) << help.out;
        EXPECT_EQ(runCli({ name, "--version" }).out, "crocuscove 0.1.0\n");
        EXPECT_NE(runCli({ "help" }).out.find("  " + name + " "), std::string::npos);
    }
    EXPECT_EQ(runCli({ "--help" }).out, runCli({ "help" }).out);
    EXPECT_EQ(runCli({ "--version" }).out, "crocuscove 0.1.0\n");
    EXPECT_EQ(runCli({ "help", "get" }).out, runCli({ "get", "--help" }).out);
}

/// Returns the flags that a help text names.
std::set<std::string> flagsIn(const std::string& help)
{
    std::set<std::string> flags;
    for (auto at = help.find("--"); at != std::string::npos; at = help.find("--", at + 1)) {
        flags.insert(help.substr(at, help.find_first_not_of("abcdefghijklmnopqrstuvwxyz-", at) - at));
    }
    return flags;
}

// Guards against a completion file and a page that lag behind the commands and their flags.
TEST(CommandLine, CompletionAndPageNameEveryFlag)
{
    const std::string folder(CROCUSCOVE_SOURCE_FOLDER);
    const std::string completion = readText(folder + "/completions/crocuscove.bash");
    const std::string page = readText(folder + "/docs/cli.md");
    for (const Command& command : commandTable()) {
        const std::string name(command.spec.name);
        EXPECT_NE(completion.find(name), std::string::npos) << name;
        EXPECT_NE(page.find("`" + name), std::string::npos) << name;
        for (const std::string& flag : flagsIn(runCli({ name, "--help" }).out)) {
            EXPECT_NE(completion.find(flag), std::string::npos) << name << " " << flag;
            EXPECT_NE(page.find(flag), std::string::npos) << name << " " << flag;
        }
    }
}

// Guards against an unnoticed loss of output, such as on a full disk.
TEST(CommandLine, FailedOutputIsAnError)
{
    std::ostringstream err;
    std::ofstream full("/dev/full");
    const Surroundings surroundings { full, err, [](const std::string&) { return nullptr; } };
    EXPECT_EQ(runCommandLine({ "version" }, surroundings), 1);
    EXPECT_NE(err.str().find("the output can't be written"), std::string::npos);
}

// Guards against invalid documents that pass, and against mistakes left out of the report.
TEST(CheckCommand, ReportsValidAndInvalidDocuments)
{
    const std::string valid = examplePath("quickstart/hello.yaml");
    EXPECT_EQ(runCli({ "check", valid }).out, valid + ": valid service document 'hello'\n");
    EXPECT_EQ(runCli({ "check", examplePath("caroni-postcard-trust/fleet.yaml"), "--output=json" }).code, 0);

    const TemporaryFile file("schema: crocuscove/v1\nkind: fleet\nsparePool: Spare\n");
    const RunResult text = runCli({ "check", file.path() });
    EXPECT_EQ(text.code, 2);
    EXPECT_NE(text.err.find(file.path() + ":3:12: sparePool: bad id 'Spare'"), std::string::npos) << text.err;
    EXPECT_NE(text.err.find("dataCentres: missing"), std::string::npos) << text.err;
    const auto json = nlohmann::json::parse(runCli({ "check", file.path(), "--output=json" }).out);
    EXPECT_EQ(json.at("error"), "invalid-input");
    EXPECT_EQ(json.at("problems").size(), 2U);
    EXPECT_EQ(json.at("problems")[1].at("line"), 3);
}

} // namespace
} // namespace crocuscove::cli
