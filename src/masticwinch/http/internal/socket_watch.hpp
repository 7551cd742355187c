#pragma once

#include <asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>

#include <functional>
#include <memory>

namespace masticwinch::internal {

/// Waits on an Asio event loop for a socket that libcurl owns.
class SocketWatch : public std::enable_shared_from_this<SocketWatch> {
public:
  /// Called with the socket and the `CURL_CSELECT_` events that it is ready
  /// for.
  using Ready = std::function<void(curl_socket_t, int)>;

  SocketWatch(asio::io_context &loop, curl_socket_t socket, Ready ready);
  ~SocketWatch();

  /// Sets which `CURL_POLL_` events are of interest.
  void want(int events);

  /// Stops waiting; the socket stays open.
  void release();

private:
  void waitToRead();
  void waitToWrite();
  void ready(int event);

  asio::posix::stream_descriptor Descriptor;
  const curl_socket_t Socket;
  const Ready WhenReady;
  bool Released = false;
  bool WantRead = false;
  bool WantWrite = false;
  bool WaitingToRead = false;
  bool WaitingToWrite = false;
};

} // namespace masticwinch::internal
