#include "http/http_wire.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller::shell;

TEST_CASE("serialize_request writes an HTTP/1.1 request", "[http]")
{
    http_exchange request;
    request.method = "GET";
    request.target = "/a?b=c";
    request.headers.add("Host", "h");
    request.headers.add("X-Request-Id", "r");

    SECTION("a GET request without a body has no Content-Length")
    {
        CHECK(serialize_request(request) == "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n");
    }
    SECTION("a request with a body has the Content-Length of the body")
    {
        request.method = "POST";
        request.body = "hello";
        const std::string text = serialize_request(request);
        CHECK(text.find("\r\nContent-Length: 5\r\n\r\nhello") != std::string::npos);
    }
    SECTION("a POST request with an empty body has a Content-Length of 0")
    {
        request.method = "POST";
        CHECK(serialize_request(request).find("\r\nContent-Length: 0\r\n\r\n") != std::string::npos);
    }
}
