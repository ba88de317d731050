// Cuts a process off from all others, in silence and in both directions, while the number in the file that
// CUT_FILE names is odd: what it sends is lost, what comes isn't seen, and what it dials never answers. When
// the number is even again, connections that lost something are reset. Loaded into the process by the tests
// that need it.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>

namespace
{

constexpr int most_files = 65536;

/// @brief by file: whether it lost something in a cut
std::array<std::atomic<bool>, most_files> harmed{};

/// @brief by file: whether it was accepted in a cut, so that the process doesn't know it
std::array<std::atomic<bool>, most_files> kept_back{};

std::atomic<std::int64_t> healed_number{0};

template <typename Function>
Function real(const char* name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

const volatile std::int64_t* open_file()
{
    const char* path = std::getenv("CUT_FILE");
    const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
    {
        return nullptr;
    }
    void* mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    static_cast<void>(real<int (*)(int)>("close")(file));
    return mapped == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(mapped);
}

std::int64_t cut_number()
{
    static const volatile std::int64_t* const number = open_file();
    return number == nullptr ? 0 : *number;
}

bool is_cut()
{
    return cut_number() % 2 != 0;
}

void harm(int file)
{
    if (file >= 0 && file < most_files)
    {
        harmed[static_cast<std::size_t>(file)] = true;
    }
}

/// @brief Resets what lost something, once the process is no longer cut off.
void heal()
{
    const std::int64_t number = cut_number();
    if (number % 2 != 0 || healed_number.exchange(number) == number)
    {
        return;
    }
    static const auto close_file = real<int (*)(int)>("close");
    for (int file = 0; file < most_files; ++file)
    {
        const auto at = static_cast<std::size_t>(file);
        if (harmed[at].exchange(false))
        {
            ::shutdown(file, SHUT_RDWR);
        }
        if (kept_back[at].exchange(false))
        {
            close_file(file);
        }
    }
}

/// @brief A listening address whose queue is full, so that connections to it get no answer.
sockaddr_in make_silent_address()
{
    static const auto connect_to = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 0) != 0)
    {
        std::abort();
    }
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    // One more than fit in the queue.
    for (int i = 0; i < 2; ++i)
    {
        const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        connect_to(filler, reinterpret_cast<sockaddr*>(&address), size);
    }
    return address;
}

ssize_t lose_received(int file, int flags)
{
    static const auto receive = real<ssize_t (*)(int, void*, std::size_t, int)>("recv");
    if ((flags & MSG_PEEK) == 0)
    {
        std::array<char, 4096> lost{};
        while (receive(file, lost.data(), lost.size(), MSG_DONTWAIT) > 0)
        {
        }
        harm(file);
    }
    errno = EAGAIN;
    return -1;
}

} // namespace

extern "C" ssize_t send(int file, const void* data, std::size_t size, int flags)
{
    static const auto original = real<ssize_t (*)(int, const void*, std::size_t, int)>("send");
    if (!is_cut())
    {
        return original(file, data, size, flags);
    }
    harm(file);
    return static_cast<ssize_t>(size);
}

extern "C" ssize_t sendmsg(int file, const msghdr* message, int flags)
{
    static const auto original = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
    if (!is_cut())
    {
        return original(file, message, flags);
    }
    harm(file);
    std::size_t size = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i)
    {
        size += message->msg_iov[i].iov_len;
    }
    return static_cast<ssize_t>(size);
}

extern "C" ssize_t recv(int file, void* data, std::size_t size, int flags)
{
    static const auto original = real<ssize_t (*)(int, void*, std::size_t, int)>("recv");
    return is_cut() ? lose_received(file, flags) : original(file, data, size, flags);
}

extern "C" ssize_t recvmsg(int file, msghdr* message, int flags)
{
    static const auto original = real<ssize_t (*)(int, msghdr*, int)>("recvmsg");
    return is_cut() ? lose_received(file, flags) : original(file, message, flags);
}

extern "C" int accept(int listener, sockaddr* address, socklen_t* size)
{
    static const auto original = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
    int file = original(listener, address, size);
    while (file >= 0 && file < most_files && is_cut())
    {
        kept_back[static_cast<std::size_t>(file)] = true;
        file = original(listener, address, size);
    }
    return file;
}

extern "C" int connect(int file, const sockaddr* address, socklen_t size)
{
    static const auto original = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    if (!is_cut() || address->sa_family != AF_INET)
    {
        return original(file, address, size);
    }
    static const sockaddr_in silent = make_silent_address();
    harm(file);
    return original(file, reinterpret_cast<const sockaddr*>(&silent), sizeof silent);
}

extern "C" int epoll_wait(int file, epoll_event* events, int count, int timeout_ms)
{
    static const auto original = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    heal();
    return original(file, events, count, timeout_ms);
}

extern "C" int close(int file)
{
    static const auto original = real<int (*)(int)>("close");
    if (file >= 0 && file < most_files)
    {
        harmed[static_cast<std::size_t>(file)] = false;
    }
    return original(file);
}
