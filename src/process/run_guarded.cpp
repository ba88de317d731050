#include "run_guarded.hpp"

#include "log.hpp"

#include <exception>

namespace flaxtiller::shell
{

void run_guarded(boost::asio::io_context& io)
{
    while (!io.stopped())
    {
        try
        {
            io.run();
        }
        catch (const std::exception& unexpected)
        {
            log(log_level::error, "unexpected_exception", {{"what", unexpected.what()}});
        }
    }
}

} // namespace flaxtiller::shell
