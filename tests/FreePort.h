#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace lacewingsail::testing {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// \returns a port of the loopback address that was free a moment ago.
inline std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(socket);
    return ntohs(address.sin_port);
}

} // namespace lacewingsail::testing
