#include "masticwinch/http/internal/socket_table.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace masticwinch::internal {

curl_socket_t SocketTable::open(const curl_sockaddr &address) {
  const curl_socket_t socket =
      ::socket(address.family, address.socktype, address.protocol);
  if (socket == CURL_SOCKET_BAD) {
    return CURL_SOCKET_BAD;
  }
  Sockets.emplace(socket, std::nullopt);
  return socket;
}

int SocketTable::close(curl_socket_t socket) {
  Sockets.erase(socket);
  return ::close(socket);
}

void SocketTable::setUsed(curl_socket_t socket) {
  if (const auto it = Sockets.find(socket); it != Sockets.end()) {
    it->second.reset();
  }
}

void SocketTable::setIdle(curl_socket_t socket, SteadyTime now) {
  if (const auto it = Sockets.find(socket); it != Sockets.end()) {
    it->second = now;
  }
}

void SocketTable::shutDownIdle(SteadyTime since) {
  for (auto it = Sockets.begin(); it != Sockets.end();) {
    if (it->second && *it->second <= since) {
      ::shutdown(it->first, SHUT_RDWR);
      it = Sockets.erase(it);
    } else {
      ++it;
    }
  }
}

} // namespace masticwinch::internal
