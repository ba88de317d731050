// Lets a process see a machine that was suspended: its steady clock lacks the milliseconds that stand in the
// file SUSPENSION_FILE names, while the time since boot and the time of day have them. Loaded into the
// process by the tests that need it.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace
{

using clock_function = int (*)(clockid_t, timespec*);

const volatile std::int64_t* open_file()
{
    const char* path = std::getenv("SUSPENSION_FILE");
    const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
    {
        return nullptr;
    }
    void* mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return mapped == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(mapped);
}

} // namespace

extern "C" int clock_gettime(clockid_t which, timespec* time) noexcept
{
    static const auto real = reinterpret_cast<clock_function>(::dlsym(RTLD_NEXT, "clock_gettime"));
    static const volatile std::int64_t* const suspended_ms = open_file();
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t ns_per_ms = 1000000;
    constexpr std::int64_t ns_per_s = ms_per_s * ns_per_ms;
    const int failed = real(which, time);
    if (failed != 0 || which != CLOCK_MONOTONIC || suspended_ms == nullptr)
    {
        return failed;
    }
    const std::int64_t ns = time->tv_sec * ns_per_s + time->tv_nsec - *suspended_ms * ns_per_ms;
    time->tv_sec = ns / ns_per_s;
    time->tv_nsec = ns % ns_per_s;
    return 0;
}
