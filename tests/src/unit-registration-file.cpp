#include "control/registration_file.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>

using namespace flaxtiller;
using flaxtiller::shell::registration_file;

namespace
{

constexpr std::int64_t now_ms = 1700000000000;

registration registration_of(const std::string& id, registration_state state = registration_state::ready)
{
    registration saved;
    saved.id = backend_server_name(id);
    saved.service = service_name("s");
    saved.address = "10.0.0.1:80";
    saved.state = state;
    saved.sequence = 3;
    return saved;
}

/// A temporary folder for one test, which the destructor removes.
struct temporary_folder
{
    temporary_folder()
        : path(std::filesystem::temp_directory_path() / ("registrations-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder()
    {
        std::filesystem::remove_all(path);
    }

    std::filesystem::path path;
};

} // namespace

TEST_CASE("the registration file keeps registrations for the next start", "[registration]")
{
    const temporary_folder folder;
    const std::string path = folder.path / "registrations";
    {
        registration_file file(path);
        REQUIRE(file.load(now_ms).empty());
        file.append({registration_of("a"), registration_of("b"), registration_of("c")}, now_ms);
        file.append({registration_of("b", registration_state::draining),
                     registration_of("c", registration_state::gone)},
                    now_ms);
        file.flush();
    }

    SECTION("the last line for each backend server is loaded")
    {
        registration_file file(path);
        auto items = file.load(now_ms);
        std::erase_if(items,
                      [](const registration& item)
                      {
                          return item.state == registration_state::gone;
                      });
        REQUIRE(items.size() == 2);
        CHECK(items[0] == registration_of("a"));
        CHECK(items[1] == registration_of("b", registration_state::draining));
    }

    SECTION("a deregistration outlasts restarts and the replacement of the file, with the time at which it "
            "was saved")
    {
        for (int restarts = 0; restarts < 3; ++restarts)
        {
            registration_file file(path);
            const auto items = file.load(now_ms + restarts * registration_file::max_gone_age_ms / 3);
            REQUIRE(items.size() == 3);
            CHECK(items[2] == registration_of("c", registration_state::gone));
            file.append({registration_of("a")}, now_ms);
            file.flush();
        }
        registration_file file(path);
        CHECK(file.load(now_ms + registration_file::max_gone_age_ms + 1).size() == 2);
    }

    SECTION("a time of day that was set back leaves out no deregistration")
    {
        registration_file file(path);
        CHECK(file.load(now_ms - 2 * registration_file::max_gone_age_ms).size() == 3);
    }

    SECTION("what is forgotten leaves the file when it is replaced, unless it is present again")
    {
        registration_file file(path);
        REQUIRE(file.load(now_ms).size() == 3);
        file.forget({backend_server_name("b"), backend_server_name("c")});
        file.append({registration_of("d")}, now_ms);
        file.flush();
        registration_file again(path);
        CHECK(again.load(now_ms).size() == 3);
    }

    SECTION("the size of the file is bounded by what is valid, however often that changes")
    {
        registration_file file(path);
        REQUIRE(file.load(now_ms).size() == 3);
        const std::vector<registration> changes(1000, registration_of("a"));
        for (int i = 0; i < 50; ++i)
        {
            file.append(changes, now_ms);
            file.flush();
        }
        CHECK(std::filesystem::file_size(path) < 25000 * nlohmann::json(registration_of("a")).dump().size());
        registration_file again(path);
        CHECK(again.load(now_ms).size() == 3);
    }

    SECTION("changes count as saved only once they are on disk, which is tried again after a failure")
    {
        const std::filesystem::path missing = folder.path / "later";
        std::atomic<int> notices{0};
        registration_file file(missing / "registrations",
                               [&notices]
                               {
                                   ++notices;
                               });
        const std::uint64_t queued = file.append({registration_of("c", registration_state::gone)}, now_ms);
        file.flush();
        CHECK(file.saved() < queued);
        CHECK(notices == 0);
        std::filesystem::create_directories(missing);
        CHECK(file.append({}, now_ms) == queued);
        file.flush();
        CHECK(file.saved() == queued);
        registration_file again(missing / "registrations");
        CHECK(again.load(now_ms).size() == 1);
    }

    SECTION("what a previous run wrote counts as saved only once this run has synced it")
    {
        registration_file file(path);
        REQUIRE(file.load(now_ms).size() == 3);
        CHECK(file.saved() == 0);
        const std::uint64_t queued = file.append({}, now_ms);
        CHECK(queued > 0);
        file.flush();
        CHECK(file.saved() == queued);
        registration_file again(path);
        CHECK(again.load(now_ms).size() == 3);
    }

    SECTION("truncated and malformed lines are skipped, and the next change replaces the file")
    {
        std::ofstream(path, std::ios::app) << "{\"id\": \"d\"}\n[1, 2\n{\"id\": \"e\", \"serv";
        registration_file file(path);
        CHECK(file.load(now_ms).size() == 3);
        file.append({registration_of("f")}, now_ms);
        file.flush();
        registration_file again(path);
        CHECK(again.load(now_ms).size() == 4);
        CHECK_FALSE(std::filesystem::exists(path + ".new"));
    }

    SECTION("a missing folder is no error for load, append and flush")
    {
        registration_file file(folder.path / "missing" / "registrations");
        CHECK(file.load(now_ms).empty());
        file.append({registration_of("a")}, now_ms);
        file.flush();
        CHECK(file.load(now_ms).empty());
    }
}
