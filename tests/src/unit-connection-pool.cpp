#include "http/connection_pool.hpp"

#include <flaxtiller/core/clock.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace flaxtiller;
using namespace flaxtiller::shell;
namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace
{

/// @brief An HTTP server on the loopback address; the test supplies the handler of the requests.
class peer
{
  public:
    struct session
    {
        explicit session(tcp::socket from) : socket(std::move(from))
        {
        }

        tcp::socket socket;
        std::string read;
    };
    using on_request = std::function<void(const std::shared_ptr<session>&, const std::string&)>;

    peer(net::io_context& io, on_request handler)
        : m_acceptor(io, {net::ip::make_address("127.0.0.1"), 0}), m_handler(std::move(handler))
    {
        accept();
    }

    address at() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    static void reply(const std::shared_ptr<session>& to, const std::string& id, const std::string& more = "")
    {
        net::write(to->socket, net::buffer("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more +
                                           "Content-Length: 2\r\n\r\nok"));
    }

    void stop()
    {
        m_acceptor.close();
    }

    int connections = 0;

  private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code& failed, tcp::socket socket)
            {
                if (!failed)
                {
                    ++connections;
                    serve(std::make_shared<session>(std::move(socket)));
                    accept();
                }
            });
    }

    void serve(const std::shared_ptr<session>& item)
    {
        net::async_read_until(item->socket, net::dynamic_buffer(item->read), "\r\n\r\n",
                              [this, item](const boost::system::error_code& failed, std::size_t bytes)
                              {
                                  if (failed)
                                  {
                                      return;
                                  }
                                  const std::string head = item->read.substr(0, bytes);
                                  item->read.erase(0, bytes);
                                  m_handler(item, head.substr(5, head.find(' ', 5) - 5));
                                  serve(item);
                              });
    }

    tcp::acceptor m_acceptor;
    on_request m_handler;
};

class pool_fixture
{
  public:
    explicit pool_fixture(peer::on_request handler) : server(io, std::move(handler))
    {
        pool.configure(2, 0);
    }

    void send(const std::string& id, double patience_ms = 2000.0, std::uint64_t token = 0)
    {
        http_exchange wanted;
        wanted.token = token;
        wanted.method = "GET";
        wanted.target = "/" + id;
        wanted.patience = duration::from_ms(patience_ms);
        wanted.id_header = "X-Id";
        wanted.id = id;
        pool.send(std::move(wanted),
                  [this](http_exchange_result result)
                  {
                      results.push_back(std::move(result));
                  });
    }

    /// @brief Runs the I/O until this many exchanges have ended, for at most 10 s.
    void wait_for_results(std::size_t count)
    {
        const auto wait_deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (results.size() < count && std::chrono::steady_clock::now() < wait_deadline)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
        REQUIRE(results.size() == count);
    }

    net::io_context io;
    peer server;
    metrics counted;
    connection_pool pool{net::make_strand(io), server.at(), counted};
    std::vector<http_exchange_result> results;
};

void reply_at_once(const std::shared_ptr<peer::session>& to, const std::string& id)
{
    peer::reply(to, id);
}

void send_no_reply(const std::shared_ptr<peer::session>&, const std::string&)
{
}

} // namespace

TEST_CASE("exchanges over pooled connections", "[http]")
{
    SECTION("successive exchanges share one connection")
    {
        pool_fixture pool_client(reply_at_once);
        for (std::size_t i = 1; i <= 5; ++i)
        {
            pool_client.send("r" + std::to_string(i));
            pool_client.wait_for_results(i);
            CHECK(pool_client.results.back().end == exchange_end::replied);
            CHECK(pool_client.results.back().body == "ok");
        }
        CHECK(pool_client.server.connections == 1);
        CHECK(pool_client.pool.connections() == 1);
    }
    SECTION("an exchange beyond the connection limit ends as unreachable and opens no connection")
    {
        pool_fixture pool_client(send_no_reply);
        for (const char* id : {"a", "b", "c"})
        {
            pool_client.send(id, 100.0);
        }
        pool_client.wait_for_results(3);
        CHECK(pool_client.results[0].end == exchange_end::unreachable);
        CHECK(pool_client.results[1].end == exchange_end::cut);
        CHECK(pool_client.results[2].end == exchange_end::cut);
        CHECK(pool_client.server.connections == 2);
        CHECK(pool_client.pool.connections() == 0);
    }
    SECTION("an exchange with a peer that sends bytes without end is cut early, and frees its connection")
    {
        const std::string chunk(std::size_t{1} << 20U, 'a');
        const std::string line = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5;" + chunk;
        pool_fixture pool_client(
            [&](const std::shared_ptr<peer::session>& to, const std::string&)
            {
                net::async_write(to->socket, net::buffer(line),
                                 [to](const boost::system::error_code&, std::size_t) {});
            });
        constexpr double patience_ms = 60000.0;
        pool_client.send("a", patience_ms);
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::cut);
        CHECK(pool_client.pool.connections() == 0);
    }
    SECTION("bytes that aren't a reply end the exchange at once, and their connection isn't used again")
    {
        std::string bytes;
        pool_fixture pool_client(
            [&](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                id == "sound" ? peer::reply(to, id) : void(net::write(to->socket, net::buffer(bytes)));
            });
        const std::string body = "X-Id: broken\r\nContent-Length: 2\r\n\r\nok";
        int connections = 0;
        for (const auto& [head, fault] :
             {std::pair("HTTP/1.1 000 OK\r\n", reply_fault::status),
              std::pair("HTTP/1.1 200 OK\r\n X-Bad: v\r\n", reply_fault::field),
              std::pair("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", reply_fault::framing),
              std::pair("HTTP/1.1 200 OK\r\nX-Id: broken\r\n", reply_fault::repeated_field)})
        {
            bytes = head + body;
            pool_client.results.clear();
            constexpr double patience_ms = 60000.0;
            pool_client.send("broken", patience_ms);
            pool_client.wait_for_results(1);
            CHECK(pool_client.results[0].end == exchange_end::cut);
            CHECK(pool_client.results[0].fault == fault);
            CHECK(pool_client.results[0].status == 0);
            CHECK(pool_client.pool.connections() == 0);
            pool_client.send("sound");
            pool_client.wait_for_results(2);
            CHECK(pool_client.results[1].end == exchange_end::replied);
            CHECK(pool_client.server.connections == ++connections + 1);
        }
        CHECK(pool_client.counted.dump()["counters"]["malformed_answers"] == 4);
    }
    SECTION("an exchange without a reply in time is cut, whatever the time limit of the previous exchange")
    {
        pool_fixture pool_client(
            [](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                if (id != "silent")
                {
                    peer::reply(to, id);
                }
            });
        pool_client.send("first", 5000.0);
        pool_client.wait_for_results(1);
        const auto begun = std::chrono::steady_clock::now();
        pool_client.send("silent", 50.0);
        pool_client.wait_for_results(2);
        CHECK(pool_client.results[1].end == exchange_end::cut);
        CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(2));
    }
    SECTION("an exchange with a peer that is gone is distinguished from one whose connection alone was lost")
    {
        pool_fixture* client_in_handler = nullptr;
        pool_fixture pool_client(
            [&client_in_handler](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                if (id == "gone")
                {
                    client_in_handler->server.stop();
                }
                if (id == "part")
                {
                    net::write(to->socket, net::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Le")));
                }
                if (id == "reset")
                {
                    to->socket.set_option(net::socket_base::linger(true, 0));
                }
                to->socket.close();
            });
        client_in_handler = &pool_client;
        std::size_t count = 0;
        for (const char* id : {"none", "reset", "part", "gone"})
        {
            pool_client.send(id);
            pool_client.wait_for_results(++count);
        }
        // In the first three exchanges the peer still accepts connections, so that only one connection was
        // lost.
        CHECK(pool_client.results[0].end == exchange_end::cut);
        CHECK(pool_client.results[1].end == exchange_end::cut);
        CHECK(pool_client.results[2].end == exchange_end::cut);
        CHECK(pool_client.results[3].end == exchange_end::hung_up);
        CHECK(pool_client.pool.connections() == 0);
    }
    SECTION("an exchange that the caller closes ends as closed")
    {
        pool_fixture pool_client(send_no_reply);
        pool_client.send("a", 5000.0, 7);
        pool_client.io.run_for(std::chrono::milliseconds(50));
        pool_client.pool.close(7);
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::closed);
        CHECK(pool_client.pool.connections() == 0);
    }
    SECTION("a reply to another request is rejected, and its connection is not reused")
    {
        pool_fixture pool_client(
            [](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                peer::reply(to, id == "a" ? "other" : id);
            });
        pool_client.send("a");
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::foreign);
        CHECK(pool_client.results[0].body.empty());
        pool_client.send("b");
        pool_client.wait_for_results(2);
        CHECK(pool_client.results[1].end == exchange_end::replied);
        CHECK(pool_client.server.connections == 2);
    }
    SECTION("a connection that received a surplus reply is not reused, even if the reply arrived while it "
            "was idle")
    {
        pool_fixture pool_client(
            [](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                peer::reply(to, id);
                if (id == "a")
                {
                    peer::reply(to, id);
                }
            });
        pool_client.send("a");
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::replied);
        pool_client.io.restart();
        pool_client.io.run_for(std::chrono::milliseconds(20));
        pool_client.send("b");
        pool_client.wait_for_results(2);
        CHECK(pool_client.results[1].end == exchange_end::replied);
        CHECK(pool_client.server.connections == 2);
    }
    SECTION("an idle connection that the peer closed is not reused")
    {
        pool_fixture pool_client(
            [](const std::shared_ptr<peer::session>& to, const std::string& id)
            {
                peer::reply(to, id);
                to->socket.close();
            });
        for (std::size_t i = 1; i <= 3; ++i)
        {
            pool_client.send("r" + std::to_string(i));
            pool_client.wait_for_results(i);
            pool_client.io.restart();
            pool_client.io.run_for(std::chrono::milliseconds(10));
            CHECK(pool_client.results.back().end == exchange_end::replied);
        }
        CHECK(pool_client.server.connections == 3);
    }
    SECTION("an exchange with a peer that refuses connections ends as unreachable")
    {
        pool_fixture pool_client(reply_at_once);
        address closed_address = pool_client.server.at();
        {
            // A port on which nothing listens, since its acceptor is closed at the end of this block.
            tcp::acceptor taken(pool_client.io, {net::ip::make_address("127.0.0.1"), 0});
            closed_address.port = taken.local_endpoint().port();
        }
        connection_pool refused_pool(net::make_strand(pool_client.io), closed_address, pool_client.counted);
        http_exchange wanted;
        wanted.method = "GET";
        wanted.target = "/";
        wanted.patience = duration::from_ms(1000);
        refused_pool.send(std::move(wanted),
                          [&](http_exchange_result result)
                          {
                              pool_client.results.push_back(std::move(result));
                          });
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::unreachable);
        CHECK(refused_pool.connections() == 0);
    }
    SECTION("an exchange with a peer that ignores connections ends as unreachable in time for another server")
    {
        pool_fixture pool_client(reply_at_once);
        // A listening socket that accepts nothing: once its queue is full, it ignores further connections, as
        // an instance without power does.
        tcp::acceptor silent(pool_client.io);
        silent.open(tcp::v4());
        silent.bind({net::ip::make_address("127.0.0.1"), 0});
        silent.listen(0);
        std::vector<tcp::socket> queued;
        constexpr int more_than_queue = 4;
        for (int i = 0; i < more_than_queue; ++i)
        {
            queued.emplace_back(pool_client.io).async_connect(silent.local_endpoint(), [](const auto&) {});
        }
        pool_client.io.restart();
        pool_client.io.run_for(std::chrono::milliseconds(10));
        connection_pool silent_pool(net::make_strand(pool_client.io),
                                    {"127.0.0.1", silent.local_endpoint().port()}, pool_client.counted);
        http_exchange wanted;
        wanted.method = "GET";
        wanted.target = "/";
        wanted.patience = duration::from_ms(5000);
        monotonic_clock clock;
        const time_point started = clock.now();
        silent_pool.send(std::move(wanted),
                         [&](http_exchange_result result)
                         {
                             pool_client.results.push_back(std::move(result));
                         });
        pool_client.wait_for_results(1);
        CHECK(pool_client.results[0].end == exchange_end::unreachable);
        // Half of an objective of one second is left for the other server.
        CHECK(clock.now() - started < duration::from_ms(500));
    }
}
