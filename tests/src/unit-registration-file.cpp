#include "control/registration_file.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace flaxtiller;
using flaxtiller::shell::registration_file;

namespace
{

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
        REQUIRE(file.load().empty());
        file.append({registration_of("a"), registration_of("b"), registration_of("c")});
        file.append({registration_of("b", registration_state::draining),
                     registration_of("c", registration_state::gone)});
        file.flush();
    }

    SECTION("the last line for each backend server is loaded")
    {
        registration_file file(path);
        auto items = file.load();
        std::erase_if(items,
                      [](const registration& item)
                      {
                          return item.state == registration_state::gone;
                      });
        REQUIRE(items.size() == 2);
        CHECK(items[0] == registration_of("a"));
        CHECK(items[1] == registration_of("b", registration_state::draining));
    }

    SECTION("truncated and malformed lines are skipped, and the next change replaces the file")
    {
        std::ofstream(path, std::ios::app) << "{\"id\": \"d\"}\n[1, 2\n{\"id\": \"e\", \"serv";
        registration_file file(path);
        CHECK(file.load().size() == 3);
        file.append({registration_of("f")});
        file.flush();
        registration_file again(path);
        CHECK(again.load().size() == 4);
        CHECK_FALSE(std::filesystem::exists(path + ".new"));
    }

    SECTION("a missing folder is no error for load, append and flush")
    {
        registration_file file(folder.path / "missing" / "registrations");
        CHECK(file.load().empty());
        file.append({registration_of("a")});
        file.flush();
        CHECK(file.load().empty());
    }
}
