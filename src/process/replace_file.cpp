#include "replace_file.hpp"

namespace flaxtiller::shell
{

std::error_code replace_file(quorum::posix_file_system& files, const std::string& path,
                             const std::string& bytes)
{
    const std::string next = path + ".new";
    // What an earlier try left; that there is nothing is as good.
    (void)files.remove(next);
    std::error_code failed;
    auto file = files.open(next, failed);
    if (!failed)
    {
        failed = file.write(bytes);
    }
    if (!failed)
    {
        failed = file.sync();
    }
    if (!failed)
    {
        failed = files.rename(next, path);
    }
    if (!failed)
    {
        failed = files.sync_folder(path.substr(0, path.find_last_of('/')));
    }
    return failed;
}

} // namespace flaxtiller::shell
