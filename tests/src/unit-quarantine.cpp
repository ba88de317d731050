#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

routed_request make_request()
{
    routed_request request;
    request.id = "r1";
    request.method = "GET";
    request.host = "h";
    request.target = "/all/x";
    request.body = "b";
    request.team = team_name("t");
    return request;
}

} // namespace

TEST_CASE("the fingerprint of a request", "[quarantine]")
{
    const routed_request first = make_request();
    routed_request other = first;

    SECTION("is the same for what a caller sends again, by whatever entry it goes")
    {
        other.id = "r2";
        other.patience = duration::from_ms(7);
        other.asked_list = 3;
        other.asked_shards = {1, 2};
        other.headers = {{"Accept", "*/*"}};
        CHECK(fingerprint_of(other) == fingerprint_of(first));
    }
    SECTION("differs with all that is asked, and with who asks")
    {
        for (std::string* text : {&other.method, &other.host, &other.target, &other.body})
        {
            other = first;
            *text += "2";
            CHECK(fingerprint_of(other) != fingerprint_of(first));
        }
        other = first;
        other.team = team_name("u");
        CHECK(fingerprint_of(other) != fingerprint_of(first));
    }
    SECTION("keeps apart what only looks alike when written in one row")
    {
        other.host = first.host + first.target;
        other.target.clear();
        CHECK(fingerprint_of(other) != fingerprint_of(first));
    }
}
