#include "masticwinch/peers/internal/inbound_link.hpp"

#include "masticwinch/common/clock.hpp"
#include "masticwinch/peers/internal/frame.hpp"

#include <asio/write.hpp>

namespace masticwinch::peers::internal {

namespace {

/// Messages are acknowledged together; a sender waits several times as long
/// before it takes the connection for silent.
constexpr Milliseconds AckDelay{150};

} // namespace

InboundLink::InboundLink(asio::ip::tcp::socket socket,
                         std::size_t maxMessageBytes, MessageHandler onMessage,
                         EndHandler onEnd)
    : Socket(std::move(socket)), AckTimer(Socket.get_executor()),
      MaxMessageBytes(maxMessageBytes), OnMessage(std::move(onMessage)),
      OnEnd(std::move(onEnd)) {}

void InboundLink::start() {
  std::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  read();
}

void InboundLink::close() {
  Closed = true;
  std::error_code ec;
  Socket.close(ec);
  AckTimer.cancel();
}

void InboundLink::end() {
  if (!Closed) {
    close();
    OnEnd(shared_from_this());
  }
}

void InboundLink::read() {
  Socket.async_read_some(asio::buffer(Chunk),
                         [self = shared_from_this()](const std::error_code &ec,
                                                     std::size_t bytes) {
                           if (self->Closed) {
                             return;
                           }
                           if (ec) {
                             self->end();
                             return;
                           }
                           self->Buffer.append(self->Chunk.data(), bytes);
                           if (!self->takeFrames()) {
                             self->end();
                             return;
                           }
                           self->read();
                         });
}

/// Hands out whole messages; false if a length is beyond the limit.
bool InboundLink::takeFrames() {
  std::size_t at = 0;
  while (!Closed && Buffer.size() - at >= FrameHeadBytes) {
    const std::uint32_t size =
        numberAt(std::string_view(Buffer).substr(at, FrameHeadBytes));
    if (size > MaxMessageBytes) {
      return false;
    }
    if (Buffer.size() - at - FrameHeadBytes < size) {
      break;
    }
    OnMessage(std::string_view(Buffer).substr(at + FrameHeadBytes, size));
    at += FrameHeadBytes + size;
    ++Count;
    acknowledgeSoon();
  }
  Buffer.erase(0, at);
  return true;
}

void InboundLink::acknowledgeSoon() {
  if (AckDue || Closed) {
    return;
  }
  AckDue = true;
  AckTimer.expires_after(AckDelay);
  AckTimer.async_wait([self = shared_from_this()](const std::error_code &ec) {
    self->AckDue = false;
    if (!ec && !self->Closed) {
      self->acknowledge();
    }
  });
}

void InboundLink::acknowledge() {
  if (AckWriting) {
    acknowledgeSoon();
    return;
  }
  AckWriting = true;
  AckBytes.clear();
  appendNumber(AckBytes, Count);
  asio::async_write(
      Socket, asio::buffer(AckBytes),
      [self = shared_from_this()](const std::error_code &ec, std::size_t) {
        self->AckWriting = false;
        if (ec && !self->Closed) {
          self->end();
        }
      });
}

} // namespace masticwinch::peers::internal
