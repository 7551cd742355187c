#include "masticwinch/peers/internal/outbound_connection.hpp"

#include "masticwinch/peers/internal/frame.hpp"

#include <asio/write.hpp>

namespace masticwinch::peers::internal {

namespace {

/// Time after which an attempt to connect is given up and repeated. Round trips
/// between data centres take a few milliseconds, and TCP itself would wait for
/// seconds after a lost packet.
constexpr Milliseconds ConnectTimeout{250};
/// Delay before the next attempt to connect.
constexpr Milliseconds RetryDelay{50};
/// A connection is given up when nothing was acknowledged for this long, which
/// allows for several acknowledgement delays and one retransmission.
constexpr Milliseconds AckTimeout{700};
/// Messages queued for longer than this are dropped, because their senders have
/// repeated them by then.
constexpr Milliseconds MaxQueueTime{1500};
constexpr std::size_t MaxQueuedMessages = 1024;
/// Size of the queue at which further messages are dropped.
constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;
/// Queued messages are combined into one write up to this size.
constexpr std::size_t MaxWriteBytes = 256 * 1024;

SteadyTime now() { return BootClock::now(); }

} // namespace

OutboundConnection::OutboundConnection(asio::io_context &context,
                                       asio::ip::tcp::endpoint peer,
                                       std::atomic<std::uint64_t> &queuedBytes,
                                       OpeningMessage openingMessage,
                                       StateHandler onState, DropHandler onDrop)
    : Peer(std::move(peer)), TotalQueuedBytes(queuedBytes),
      FirstMessage(std::move(openingMessage)), OnState(std::move(onState)),
      OnDrop(std::move(onDrop)), Socket(context), ConnectTimer(context),
      AckTimer(context) {}

void OutboundConnection::send(std::string payload) {
  dropStale();
  if (Closed || Queue.size() >= MaxQueuedMessages ||
      QueuedBytes >= MaxQueuedBytes) {
    TotalQueuedBytes -= payload.size();
    OnDrop(1);
    return;
  }
  QueuedBytes += payload.size();
  Queue.push_back({std::move(payload), now()});
  if (Open) {
    write();
  } else if (!Opening) {
    connect();
  }
}

void OutboundConnection::close() {
  Closed = true;
  ++Attempt;
  std::error_code ec;
  Socket.close(ec);
  ConnectTimer.cancel();
  AckTimer.cancel();
}

void OutboundConnection::connect() {
  Opening = true;
  const std::uint64_t attempt = ++Attempt;
  std::error_code ec;
  Socket.close(ec);
  Socket.async_connect(
      Peer, [self = shared_from_this(), attempt](const std::error_code &error) {
        if (attempt != self->Attempt) {
          return;
        }
        if (error) {
          self->fail(error.message());
          return;
        }
        self->Opening = false;
        self->Open = true;
        self->Announced = false;
        self->ConnectTimer.cancel();
        std::error_code ignored;
        self->Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->Sent = 0;
        self->Acknowledged = 0;
        self->LastProgressAt = now();
        self->PartialAck.clear();
        if (!self->PeerReachable) {
          self->PeerReachable = true;
          self->OnState(true, "");
        }
        self->readAcknowledgement();
        self->dropStale();
        self->write();
      });
  ConnectTimer.expires_after(ConnectTimeout);
  ConnectTimer.async_wait(
      [self = shared_from_this(), attempt](const std::error_code &error) {
        if (!error && attempt == self->Attempt && self->Opening) {
          self->fail("no connection in time");
        }
      });
}

void OutboundConnection::fail(const std::string &reason) {
  ++Attempt;
  Open = false;
  Writing = false;
  std::error_code ec;
  Socket.close(ec);
  if (PeerReachable) {
    PeerReachable = false;
    OnState(false, reason);
  }
  dropStale();
  if (Queue.empty()) {
    // The next message opens the connection again.
    Opening = false;
    return;
  }
  retryLater();
}

void OutboundConnection::retryLater() {
  Opening = true;
  ConnectTimer.expires_after(RetryDelay);
  ConnectTimer.async_wait([self = shared_from_this(),
                           attempt = Attempt](const std::error_code &error) {
    if (!error && attempt == self->Attempt && !self->Closed) {
      self->connect();
    }
  });
}

void OutboundConnection::dropStale() {
  std::size_t dropped = 0;
  while (!Queue.empty() && now() - Queue.front().QueuedAt > MaxQueueTime) {
    takeFirst();
    ++dropped;
  }
  if (dropped > 0) {
    OnDrop(dropped);
  }
}

std::string OutboundConnection::takeFirst() {
  std::string payload = std::move(Queue.front().Payload);
  QueuedBytes -= payload.size();
  TotalQueuedBytes -= payload.size();
  Queue.pop_front();
  return payload;
}

void OutboundConnection::write() {
  if (Writing || Queue.empty()) {
    return;
  }
  Outgoing.clear();
  if (Sent == Acknowledged) {
    LastProgressAt = now();
  }
  if (!Announced) {
    Announced = true;
    appendFrame(FirstMessage(Attempt));
  }
  while (!Queue.empty() && Outgoing.size() < MaxWriteBytes) {
    appendFrame(takeFirst());
  }
  Writing = true;
  asio::async_write(Socket, asio::buffer(Outgoing),
                    [self = shared_from_this(), attempt = Attempt](
                        const std::error_code &error, std::size_t) {
                      if (attempt != self->Attempt) {
                        return;
                      }
                      self->Writing = false;
                      if (error) {
                        self->fail(error.message());
                        return;
                      }
                      self->write();
                    });
  if (!AckTimerRunning) {
    awaitAcknowledgement();
  }
}

void OutboundConnection::appendFrame(const std::string &payload) {
  appendUint32(Outgoing, static_cast<std::uint32_t>(payload.size()));
  Outgoing += payload;
  ++Sent;
}

/// Checks after the timeout whether sent messages have been acknowledged.
void OutboundConnection::awaitAcknowledgement() {
  AckTimerRunning = true;
  AckTimer.expires_after(LastProgressAt + AckTimeout - now());
  AckTimer.async_wait(
      [self = shared_from_this()](const std::error_code &error) {
        self->AckTimerRunning = false;
        if (error || self->Closed || !self->Open ||
            self->Sent == self->Acknowledged) {
          return;
        }
        if (now() - self->LastProgressAt >= AckTimeout) {
          self->fail("the connection fell silent");
          return;
        }
        self->awaitAcknowledgement();
      });
}

void OutboundConnection::readAcknowledgement() {
  Socket.async_read_some(asio::buffer(AckBuffer),
                         [self = shared_from_this(), attempt = Attempt](
                             const std::error_code &error, std::size_t bytes) {
                           if (attempt != self->Attempt) {
                             return;
                           }
                           if (error) {
                             self->fail(error.message());
                             return;
                           }
                           self->PartialAck.append(self->AckBuffer.data(),
                                                   bytes);
                           while (self->PartialAck.size() >= FrameHeaderBytes) {
                             self->Acknowledged = readUint32(self->PartialAck);
                             self->PartialAck.erase(0, FrameHeaderBytes);
                             self->LastProgressAt = now();
                           }
                           self->readAcknowledgement();
                         });
}

} // namespace masticwinch::peers::internal
