#pragma once

#include <boost/asio/io_context.hpp>

namespace flaxtiller::shell
{

/// @brief Runs the context until it is stopped; an exception that a handler let through is logged, and the
/// other requests go on.
void run_guarded(boost::asio::io_context& io);

} // namespace flaxtiller::shell
