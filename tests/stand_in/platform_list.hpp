#pragma once

#include "http/http_server.hpp"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

namespace flaxtiller::stand_in
{

/// @brief A stand-in for the platform's list of live and leaving backend servers; what is posted shows late.
class platform_list
{
  public:
    platform_list(boost::asio::io_context& io, int lag_ms)
        : m_lag(lag_ms), m_server(io, {},
                                  [this](const auto& request, const auto& reply)
                                  {
                                      on(request, reply);
                                  })
    {
    }

    std::error_code listen(const shell::address& at)
    {
        return m_server.listen(at);
    }

  private:
    using clock = std::chrono::steady_clock;

    void on(const shell::http_request& request, const shell::http_server::respond& reply)
    {
        if (request.method == "POST")
        {
            m_next = nlohmann::json::parse(request.body, nullptr, false);
            m_shown_at = clock::now() + std::chrono::milliseconds(m_lag);
        }
        if (clock::now() >= m_shown_at)
        {
            m_shown = m_next;
        }
        reply({200, m_shown.dump(), "application/json", {}, false});
    }

    int m_lag;
    nlohmann::json m_next = nlohmann::json::array();
    nlohmann::json m_shown = nlohmann::json::array();
    clock::time_point m_shown_at{};
    shell::http_server m_server;
};

} // namespace flaxtiller::stand_in
