#pragma once

#include "masticwinch/common/clock.hpp"

#include <curl/curl.h>

#include <cstddef>
#include <map>
#include <optional>

namespace masticwinch::internal {

/// The open sockets of an HTTP client, and since when each is idle. libcurl
/// closes an idle connection only when a later call comes upon it, so that a
/// process without calls would occupy its peers' connections for good.
class SocketTable {
public:
  /// Opens a socket for libcurl; CURL_SOCKET_BAD if that fails.
  curl_socket_t open(const curl_sockaddr &address);

  /// Closes a socket for libcurl; returns the result of the system call.
  int close(curl_socket_t socket);

  /// Records that a call uses a socket, or no longer does.
  void setUsed(curl_socket_t socket);
  void setIdle(curl_socket_t socket, SteadyTime now);

  /// Ends the connections that have been idle since this time or before. The
  /// peer sees them closed at once; libcurl closes the socket when it comes
  /// upon it.
  void shutDownIdle(SteadyTime since);

  /// Sockets whose connections have not been ended.
  std::size_t size() const { return Sockets.size(); }

private:
  /// When the socket became idle; empty while a call uses it.
  std::map<curl_socket_t, std::optional<SteadyTime>> Sockets;
};

} // namespace masticwinch::internal
