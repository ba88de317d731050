#include "shell/registration_file.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace flaxtiller;
using flaxtiller::shell::registration_file;

namespace
{

registration said_by(const std::string& id, registration_state state = registration_state::ready)
{
    registration said;
    said.id = backend_server_name(id);
    said.service = service_name("s");
    said.address = "10.0.0.1:80";
    said.state = state;
    said.sequence = 3;
    return said;
}

/// A folder of its own, removed at the end.
struct scratch_folder
{
    scratch_folder()
        : path(std::filesystem::temp_directory_path() / ("registrations-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path);
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder()
    {
        std::filesystem::remove_all(path);
    }

    std::filesystem::path path;
};

} // namespace

TEST_CASE("registrations kept for the next start", "[registration]")
{
    const scratch_folder folder;
    const std::string path = folder.path / "registrations";
    {
        registration_file file(path);
        REQUIRE(file.load().empty());
        file.append({said_by("a"), said_by("b"), said_by("c")});
        file.append({said_by("b", registration_state::draining), said_by("c", registration_state::gone)});
        file.flush();
    }

    SECTION("the last word on each counts")
    {
        registration_file file(path);
        auto items = file.load();
        std::erase_if(items,
                      [](const registration& item)
                      {
                          return item.state == registration_state::gone;
                      });
        REQUIRE(items.size() == 2);
        CHECK(items[0] == said_by("a"));
        CHECK(items[1] == said_by("b", registration_state::draining));
    }

    SECTION("a line that was cut off or damaged is passed over, and the file is written anew with the next "
            "change")
    {
        std::ofstream(path, std::ios::app) << "{\"id\": \"d\"}\n[1, 2\n{\"id\": \"e\", \"serv";
        registration_file file(path);
        CHECK(file.load().size() == 3);
        file.append({said_by("f")});
        file.flush();
        registration_file again(path);
        CHECK(again.load().size() == 4);
        CHECK_FALSE(std::filesystem::exists(path + ".new"));
    }

    SECTION("a folder that is gone is no error for those that wait")
    {
        registration_file file(folder.path / "missing" / "registrations");
        CHECK(file.load().empty());
        file.append({said_by("a")});
        file.flush();
        CHECK(file.load().empty());
    }
}
