#include "masticwinch/peers/internal/inbound_connection.hpp"

#include "masticwinch/common/clock.hpp"
#include "masticwinch/peers/internal/frame.hpp"

#include <asio/write.hpp>

namespace masticwinch::peers::internal {

namespace {

/// Messages received within this time are acknowledged together. The sender's
/// acknowledgement timeout is several times as long.
constexpr Milliseconds AckDelay{150};

} // namespace

InboundConnection::InboundConnection(asio::ip::tcp::socket socket,
                                     std::size_t maxMessageBytes,
                                     MessageHandler onMessage,
                                     HeldHandler onHeld, EndHandler onEnd)
    : Socket(std::move(socket)), AckTimer(Socket.get_executor()),
      MaxMessageBytes(maxMessageBytes), OnMessage(std::move(onMessage)),
      OnHeld(std::move(onHeld)), OnEnd(std::move(onEnd)) {}

void InboundConnection::start() {
  std::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  read();
}

void InboundConnection::close() {
  Closed = true;
  std::error_code ec;
  Socket.close(ec);
  AckTimer.cancel();
}

void InboundConnection::end() {
  if (!Closed) {
    close();
    OnEnd(shared_from_this());
  }
}

void InboundConnection::read() {
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
                           if (!self->processFrames()) {
                             self->end();
                             return;
                           }
                           self->reportHeld();
                           if (!self->Closed) {
                             self->read();
                           }
                         });
}

/// Gives the memory of a long message back once it was handled, and reports
/// what the next one takes.
void InboundConnection::reportHeld() {
  if (Buffer.empty() && Buffer.capacity() > Chunk.size()) {
    Buffer.shrink_to_fit();
  }
  const std::size_t held = Buffer.empty() ? 0 : Buffer.capacity();
  if (held != HeldBytes) {
    HeldBytes = held;
    OnHeld(held);
  }
}

/// Passes complete messages to the handler; returns false if a message exceeds
/// the size limit or the handler ends the connection.
bool InboundConnection::processFrames() {
  std::size_t offset = 0;
  while (!Closed && Buffer.size() - offset >= FrameHeaderBytes) {
    const std::uint32_t size =
        readUint32(std::string_view(Buffer).substr(offset, FrameHeaderBytes));
    if (size > MaxMessageBytes) {
      return false;
    }
    if (Buffer.size() - offset - FrameHeaderBytes < size) {
      break;
    }
    if (!OnMessage(
            std::string_view(Buffer).substr(offset + FrameHeaderBytes, size))) {
      return false;
    }
    offset += FrameHeaderBytes + size;
    ++MessageCount;
    scheduleAcknowledgement();
  }
  Buffer.erase(0, offset);
  return true;
}

void InboundConnection::scheduleAcknowledgement() {
  if (AckScheduled || Closed) {
    return;
  }
  AckScheduled = true;
  AckTimer.expires_after(AckDelay);
  AckTimer.async_wait([self = shared_from_this()](const std::error_code &ec) {
    self->AckScheduled = false;
    if (!ec && !self->Closed) {
      self->acknowledge();
    }
  });
}

void InboundConnection::acknowledge() {
  if (AckWriting) {
    scheduleAcknowledgement();
    return;
  }
  AckWriting = true;
  AckBytes.clear();
  appendUint32(AckBytes, MessageCount);
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
