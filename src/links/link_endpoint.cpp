#include "link_endpoint.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <thread>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// Longer than the longest time that peer_links waits for a dial, so that a link to a busy peer that answers
/// slowly is still established.
constexpr long open_timeout_ms = 8000;
constexpr long close_timeout_ms = 500;
/// A link is closed once this many bytes wait to be sent, which happens if the peer stopped reading.
constexpr std::size_t max_buffered_bytes = std::size_t{64} << 20U;

template <typename Endpoint>
void prepare(Endpoint& endpoint, boost::asio::io_service& io)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_open_handshake_timeout(open_timeout_ms);
    endpoint.set_close_handshake_timeout(close_timeout_ms);
    endpoint.set_pong_timeout(0);
    endpoint.set_tcp_post_init_handler(
        [&endpoint](connection_hdl handle)
        {
            websocketpp::lib::error_code gone;
            const auto connection = endpoint.get_con_from_hdl(handle, gone);
            if (!gone)
            {
                boost::system::error_code ignored;
                connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            }
        });
}

} // namespace

struct link_endpoint::implementation
{
    struct link
    {
        connection_hdl handle;
        bool outgoing = false;
    };

    handlers callbacks;
    std::size_t max_received_bytes;
    boost::asio::io_service io;
    std::unique_ptr<boost::asio::io_service::work> keep_running;
    ws_server server;
    ws_client client;
    std::thread thread;
    std::atomic<link_id> next_id{1};
    // Accessed only by the endpoint's thread.
    std::map<link_id, link> links;

    template <typename Connection>
    void attach(const Connection& connection, link_id id, bool outgoing)
    {
        connection->set_max_message_size(max_received_bytes);
        connection->set_open_handler(
            [this, id, outgoing](connection_hdl handle)
            {
                links[id] = link{handle, outgoing};
                callbacks.opened(id);
            });
        const auto gone = [this, id](connection_hdl)
        {
            links.erase(id);
            callbacks.closed(id);
        };
        connection->set_close_handler(gone);
        connection->set_fail_handler(gone);
        connection->set_message_handler(
            [this, id](connection_hdl, const auto& message)
            {
                callbacks.received(id, message->get_payload());
            });
    }

    template <typename Endpoint>
    void send_on(Endpoint& endpoint, connection_hdl handle, const std::string& bytes)
    {
        websocketpp::lib::error_code failed;
        const auto connection = endpoint.get_con_from_hdl(handle, failed);
        if (failed)
        {
            return;
        }
        if (connection->get_buffered_amount() > max_buffered_bytes)
        {
            connection->terminate(websocketpp::lib::error_code());
            return;
        }
        connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    void send(link_id id, const std::string& bytes)
    {
        const auto found = links.find(id);
        if (found == links.end())
        {
            return;
        }
        if (found->second.outgoing)
        {
            send_on(client, found->second.handle, bytes);
        }
        else
        {
            send_on(server, found->second.handle, bytes);
        }
    }

    void close(link_id id)
    {
        const auto found = links.find(id);
        if (found == links.end())
        {
            return;
        }
        websocketpp::lib::error_code ignored;
        constexpr auto normal = websocketpp::close::status::normal;
        if (found->second.outgoing)
        {
            client.close(found->second.handle, normal, "", ignored);
        }
        else
        {
            server.close(found->second.handle, normal, "", ignored);
        }
    }

    void connect(link_id id, const std::string& uri)
    {
        websocketpp::lib::error_code failed;
        const auto connection = client.get_connection(uri, failed);
        if (failed)
        {
            callbacks.closed(id);
            return;
        }
        attach(connection, id, true);
        client.connect(connection);
    }
};

link_endpoint::link_endpoint(handlers callbacks, std::size_t max_received_bytes)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.callbacks = std::move(callbacks);
    self.max_received_bytes = max_received_bytes;
    prepare(self.server, self.io);
    prepare(self.client, self.io);
    self.server.set_reuse_addr(true);
    self.server.set_validate_handler(
        [&self](connection_hdl handle)
        {
            websocketpp::lib::error_code gone;
            const auto connection = self.server.get_con_from_hdl(handle, gone);
            if (gone)
            {
                return false;
            }
            self.attach(connection, self.next_id++, false);
            return true;
        });
}

link_endpoint::~link_endpoint()
{
    implementation& self = *m_implementation;
    self.io.stop();
    if (self.thread.joinable())
    {
        self.thread.join();
    }
}

bool link_endpoint::listen(const std::string& ip, std::uint16_t port, std::string& why)
{
    websocketpp::lib::error_code failed;
    implementation& self = *m_implementation;
    self.server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(ip), port), failed);
    if (!failed)
    {
        self.server.start_accept(failed);
    }
    why = failed ? failed.message() : std::string();
    return !failed;
}

void link_endpoint::start()
{
    implementation& self = *m_implementation;
    self.keep_running = std::make_unique<boost::asio::io_service::work>(self.io);
    self.thread = std::thread(
        [&self]
        {
            while (!self.io.stopped())
            {
                try
                {
                    self.io.run();
                }
                catch (const std::exception&)
                {
                    // A malformed frame from a peer must not end the process; the library closes the link.
                }
            }
        });
}

link_endpoint::link_id link_endpoint::connect(const std::string& ip, std::uint16_t port)
{
    implementation& self = *m_implementation;
    const link_id id = self.next_id++;
    const std::string uri = "ws://" + ip + ":" + std::to_string(port) + "/flaxtiller";
    boost::asio::post(self.io,
                      [&self, id, uri]
                      {
                          self.connect(id, uri);
                      });
    return id;
}

void link_endpoint::send(link_id link, std::shared_ptr<const std::string> bytes)
{
    implementation& self = *m_implementation;
    boost::asio::post(self.io,
                      [&self, link, bytes = std::move(bytes)]
                      {
                          self.send(link, *bytes);
                      });
}

void link_endpoint::close(link_id link)
{
    implementation& self = *m_implementation;
    boost::asio::post(self.io,
                      [&self, link]
                      {
                          self.close(link);
                      });
}

} // namespace flaxtiller::shell
