#pragma once

#include "http/address.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <csignal>

#include <array>
#include <cstdint>
#include <memory>
#include <system_error>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>

namespace flaxtiller::stand_in
{

/// @brief Relays TCP connections, and on signals drops bytes in silence: SIGUSR1 cuts towards the target,
/// SIGUSR2 cuts both directions, SIGHUP heals. SIGALRM silences the open connections for good, SIGPROF only
/// what they carry towards the target, and SIGVTALRM only what they carry from it; new connections work.
/// Connections stay open, as over a network that lost its way.
class relay
{
  public:
    relay(boost::asio::io_context& io, shell::address target)
        : m_io(io), m_target(std::move(target)), m_acceptor(io), m_signals(io, SIGUSR1, SIGUSR2, SIGHUP)
    {
        m_signals.add(SIGALRM);
        m_signals.add(SIGPROF);
        m_signals.add(SIGVTALRM);
        await_signal();
    }

    std::error_code listen(const shell::address& at)
    {
        boost::system::error_code failed;
        const tcp::endpoint endpoint(boost::asio::ip::make_address(at.ip), at.port);
        m_acceptor.open(endpoint.protocol(), failed);
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), failed);
        m_acceptor.bind(endpoint, failed);
        if (!failed)
        {
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
        }
        if (!failed)
        {
            accept();
        }
        return failed ? std::make_error_code(std::errc::address_in_use) : std::error_code{};
    }

  private:
    using tcp = boost::asio::ip::tcp;

    static constexpr std::size_t buffer_size = 65536;

    struct pipe : std::enable_shared_from_this<pipe>
    {
        explicit pipe(boost::asio::io_context& io) : near(io), far(io)
        {
        }

        /// Connections are numbered in the order in which they are accepted.
        std::uint64_t number = 0;
        tcp::socket near;
        tcp::socket far;
        std::array<char, buffer_size> to_far{};
        std::array<char, buffer_size> to_near{};
    };

    /// @brief What is dropped in one direction.
    struct direction
    {
        /// Whether the network loses everything.
        bool cut = false;
        /// The connections with a smaller number are silent for good.
        std::uint64_t silent_below = 0;

        bool drops(const pipe& item) const noexcept
        {
            return cut || item.number < silent_below;
        }
    };

    void on_signal(int signal)
    {
        if (signal == SIGUSR1 || signal == SIGUSR2 || signal == SIGHUP)
        {
            m_to_far.cut = signal != SIGHUP;
            m_to_near.cut = signal == SIGUSR2;
        }
        if (signal == SIGALRM || signal == SIGPROF)
        {
            m_to_far.silent_below = m_next_number;
        }
        if (signal == SIGALRM || signal == SIGVTALRM)
        {
            m_to_near.silent_below = m_next_number;
        }
    }

    void await_signal()
    {
        m_signals.async_wait(
            [this](const boost::system::error_code& stopped, int signal)
            {
                if (stopped)
                {
                    return;
                }
                on_signal(signal);
                await_signal();
            });
    }

    void accept()
    {
        auto fresh = std::make_shared<pipe>(m_io);
        m_acceptor.async_accept(fresh->near,
                                [this, fresh](const boost::system::error_code& failed)
                                {
                                    if (!failed)
                                    {
                                        fresh->number = m_next_number++;
                                        connect(fresh);
                                    }
                                    accept();
                                });
    }

    void connect(const std::shared_ptr<pipe>& fresh)
    {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(m_target.ip), m_target.port);
        fresh->far.async_connect(endpoint,
                                 [this, fresh](const boost::system::error_code& failed)
                                 {
                                     if (failed)
                                     {
                                         return;
                                     }
                                     boost::system::error_code ignored;
                                     fresh->near.set_option(tcp::no_delay(true), ignored);
                                     fresh->far.set_option(tcp::no_delay(true), ignored);
                                     pump(fresh, fresh->near, fresh->far, fresh->to_far, m_to_far);
                                     pump(fresh, fresh->far, fresh->near, fresh->to_near, m_to_near);
                                 });
    }

    void pump(const std::shared_ptr<pipe>& held, tcp::socket& from, tcp::socket& to,
              std::array<char, buffer_size>& buffer, const direction& way)
    {
        from.async_read_some(boost::asio::buffer(buffer),
                             [this, held, &from, &to, &buffer, &way](const boost::system::error_code& failed,
                                                                     std::size_t count)
                             {
                                 boost::system::error_code ignored;
                                 if (failed)
                                 {
                                     if (!way.drops(*held))
                                     {
                                         to.shutdown(tcp::socket::shutdown_both, ignored);
                                     }
                                     return;
                                 }
                                 if (way.drops(*held))
                                 {
                                     // Lost; what follows on this connection can't be understood, so it stays
                                     // silent for good.
                                     drain(held, from, buffer);
                                     return;
                                 }
                                 boost::asio::async_write(
                                     to, boost::asio::buffer(buffer.data(), count),
                                     [this, held, &from, &to, &buffer,
                                      &way](const boost::system::error_code& write_failed, std::size_t)
                                     {
                                         if (!write_failed)
                                         {
                                             pump(held, from, to, buffer, way);
                                         }
                                     });
                             });
    }

    void drain(const std::shared_ptr<pipe>& held, tcp::socket& from, std::array<char, buffer_size>& buffer)
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [this, held, &from, &buffer](const boost::system::error_code& failed, std::size_t)
            {
                if (!failed)
                {
                    drain(held, from, buffer);
                }
            });
    }

    boost::asio::io_context& m_io;
    shell::address m_target;
    tcp::acceptor m_acceptor;
    boost::asio::signal_set m_signals;
    direction m_to_far;
    direction m_to_near;
    std::uint64_t m_next_number = 1;
};

} // namespace flaxtiller::stand_in
