#include "integration/platform_fixture.h"

namespace crocuscove::testing {
namespace {

const std::string lasting = R"({"spec":"0","steps":[{"count":2,"cpu":1000,"memMb":64,"longRunning":true}]})";

constexpr int statusOk = 200;
constexpr int statusRedirect = 307;
constexpr int statusUnavailable = 503;

class PlatformDiskTest : public PlatformTest {
protected:
    /// Puts a configuration with the next version.
    int putNext(int number)
    {
        std::string text = platformConfiguration;
        text.replace(text.find("\"version\":3"), 11, "\"version\":" + std::to_string(++m_version));
        return putConfiguration(number, text);
    }

    /// Tells whether the node leads or knows the leader.
    bool takesPart(int number)
    {
        const int status = putNext(number);
        return status == statusOk || status == statusRedirect;
    }

    [[nodiscard]] bool hasStorage(int number) const { return gauge(number, "storage_available") == 1.0; }

    /// Fills the disks of these nodes until they have noticed.
    void fillDisks(const std::vector<int>& numbers)
    {
        std::ranges::for_each(numbers, [this](int number) { setDiskFull(number, true); });
        EXPECT_TRUE(waitUntil([&] {
            putNext(std::max(1, leader()));
            return std::ranges::none_of(numbers, [this](int number) { return hasStorage(number); });
        }));
        // A node names the leader that it heard last for the longest election timeout.
        EXPECT_TRUE(waitUntil([&] {
            return std::ranges::all_of(numbers, [this](int number) { return putNext(number) == statusUnavailable; });
        }));
    }

    void expectAllTakePart()
    {
        EXPECT_TRUE(waitUntil([&] {
            return std::ranges::all_of(
                std::vector { 1, 2, 3 }, [this](int number) { return hasStorage(number) && takesPart(number); });
        }));
    }

private:
    int m_version = 3;
};

TEST_F(PlatformDiskTest, ChangesAreAcceptedAgainAfterDisksWereFullOneAfterAnother)
{
    ASSERT_TRUE(configure());
    startWorker("w1");
    submit("00000000000000bb", lasting);
    ASSERT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
    for (const int number : { 1, 2, 3 }) {
        fillDisks({ number });
        setDiskFull(number, false);
        expectAllTakePart();
        ASSERT_FALSE(HasFailure()) << "after the disk of control node " << number;
    }
    EXPECT_EQ(call("DELETE", "/q/00000000000000bb"), statusOk);
    EXPECT_TRUE(waitUntil([&] {
        return std::ranges::count_if(records(), [](const nlohmann::json& line) {
            return line.at("event") == "end" && line.at("detail") == "stopped";
        }) == 2;
    }));
    expectNoTaskTwice();
}

TEST_F(PlatformDiskTest, ChangesAreAcceptedAgainAfterAllDisksWereFullAtOnce)
{
    ASSERT_TRUE(configure());
    for (const std::vector<int>& numbers : { std::vector { 1, 2 }, std::vector { 1, 2, 3 } }) {
        fillDisks(numbers);
        std::ranges::for_each(numbers, [this](int number) { setDiskFull(number, false); });
        expectAllTakePart();
    }
    startWorker("w1");
    submit("00000000000000bb", lasting);
    EXPECT_TRUE(waitUntil([&] { return starts("00000000000000bb.0.0.1") == 1; }));
}

TEST_F(PlatformDiskTest, AControlNodeStartedOnAFullDiskTakesPartOnceThereIsRoom)
{
    ASSERT_TRUE(configure());
    constexpr int number = 3;
    const std::string folder = cluster.path("data-" + std::to_string(number));
    cluster.process(controlName(number)).kill();
    std::filesystem::remove_all(folder);
    rlimit limit {};
    ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &limit), 0);
    // The process inherits the limit.
    const rlimit full { 0, limit.rlim_max };
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &full), 0);
    startControl(number, false);
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &limit), 0);
    ASSERT_TRUE(waitUntil([&] { return std::filesystem::exists(folder + "/LOCK"); }));
    setDiskFull(number, false);
    expectAllTakePart();
    EXPECT_TRUE(cluster.process(controlName(number)).isRunning());
}

} // namespace
} // namespace crocuscove::testing
