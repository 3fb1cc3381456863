#include "http_text.h"

/// Prints as many free ports as asked for.
int main(int argc, char** argv)
{
    const int count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<int> held;
    for (int i = 0; i < count; ++i) {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_ANY);
        socklen_t size = sizeof any;
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 ||
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size) != 0) {
            return 2;
        }
        held.push_back(fd);
        std::printf("%d\n", ntohs(any.sin_port));
    }
}
