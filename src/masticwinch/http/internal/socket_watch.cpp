#include "masticwinch/http/internal/socket_watch.hpp"

#include <asio/io_context.hpp>

namespace masticwinch::internal {

SocketWatch::SocketWatch(asio::io_context &loop, curl_socket_t socket,
                         ReadyCallback ready)
    : Descriptor(loop, socket), Socket(socket), OnReady(std::move(ready)) {}

SocketWatch::~SocketWatch() { release(); }

void SocketWatch::setEvents(int events) {
  WantRead = (events & CURL_POLL_IN) != 0;
  WantWrite = (events & CURL_POLL_OUT) != 0;
  waitToRead();
  waitToWrite();
}

void SocketWatch::release() {
  if (!Released) {
    Released = true;
    Descriptor.release();
  }
}

void SocketWatch::waitToRead() {
  if (Released || !WantRead || WaitingToRead) {
    return;
  }
  WaitingToRead = true;
  Descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = shared_from_this()](const std::error_code &) {
                          self->WaitingToRead = false;
                          if (!self->Released && self->WantRead) {
                            self->ready(CURL_CSELECT_IN);
                            self->waitToRead();
                          }
                        });
}

void SocketWatch::waitToWrite() {
  if (Released || !WantWrite || WaitingToWrite) {
    return;
  }
  WaitingToWrite = true;
  Descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                        [self = shared_from_this()](const std::error_code &) {
                          self->WaitingToWrite = false;
                          if (!self->Released && self->WantWrite) {
                            self->ready(CURL_CSELECT_OUT);
                            self->waitToWrite();
                          }
                        });
}

void SocketWatch::ready(int event) { OnReady(Socket, event); }

} // namespace masticwinch::internal
