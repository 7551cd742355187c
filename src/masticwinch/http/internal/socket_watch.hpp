#pragma once

#include <asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>

#include <functional>
#include <memory>

namespace masticwinch::internal {

/// Monitors a socket that libcurl owns on an Asio event loop.
class SocketWatch : public std::enable_shared_from_this<SocketWatch> {
public:
  /// Receives the socket and the `CURL_CSELECT_` events that are ready.
  using ReadyCallback = std::function<void(curl_socket_t, int)>;

  SocketWatch(asio::io_context &loop, curl_socket_t socket,
              ReadyCallback ready);
  ~SocketWatch();

  /// Sets the `CURL_POLL_` events to wait for.
  void setEvents(int events);

  /// Stops monitoring; the socket stays open.
  void release();

private:
  void waitToRead();
  void waitToWrite();
  void ready(int event);

  asio::posix::stream_descriptor Descriptor;
  const curl_socket_t Socket;
  const ReadyCallback OnReady;
  bool Released = false;
  bool WantRead = false;
  bool WantWrite = false;
  bool WaitingToRead = false;
  bool WaitingToWrite = false;
};

} // namespace masticwinch::internal
