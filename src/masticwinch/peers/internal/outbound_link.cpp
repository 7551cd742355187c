#include "masticwinch/peers/internal/outbound_link.hpp"

#include "masticwinch/peers/internal/frame.hpp"

#include <asio/write.hpp>

namespace masticwinch::peers::internal {

namespace {

/// A connection that is not open by then is tried again; round trips between
/// data centres take a few milliseconds, and TCP itself would wait for seconds
/// after a lost packet.
constexpr Milliseconds ConnectLimit{250};
/// Pause before the next attempt.
constexpr Milliseconds RetryPause{50};
/// A connection is silent when nothing was acknowledged for so long: several
/// acknowledgement delays, and one retransmission.
constexpr Milliseconds SilenceLimit{700};
/// Messages that waited longer are of no use: their senders repeat them.
constexpr Milliseconds StaleAfter{1500};
constexpr std::size_t QueueMessages = 1024;
/// Messages are written together up to this size.
constexpr std::size_t WriteBytes = 256 * 1024;

SteadyTime now() { return std::chrono::steady_clock::now(); }

} // namespace

OutboundLink::OutboundLink(asio::io_context &loop, asio::ip::tcp::endpoint peer,
                           StateHandler onState, DropHandler onDrop)
    : Peer(std::move(peer)), OnState(std::move(onState)),
      OnDrop(std::move(onDrop)), Socket(loop), Timer(loop), Watch(loop) {}

void OutboundLink::send(std::string payload) {
  if (Closed) {
    return;
  }
  if (Queue.size() >= QueueMessages) {
    OnDrop(1);
    return;
  }
  Queue.push_back({std::move(payload), now()});
  if (Open) {
    write();
  } else if (!Opening) {
    connect();
  }
}

void OutboundLink::close() {
  Closed = true;
  ++Attempt;
  std::error_code ec;
  Socket.close(ec);
  Timer.cancel();
  Watch.cancel();
}

void OutboundLink::connect() {
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
        self->Timer.cancel();
        std::error_code ignored;
        self->Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->Sent = 0;
        self->Acknowledged = 0;
        self->ProgressAt = now();
        self->PartialAck.clear();
        if (!self->Reached) {
          self->Reached = true;
          self->OnState(true, "");
        }
        self->readAcknowledgement();
        self->dropStale();
        self->write();
      });
  Timer.expires_after(ConnectLimit);
  Timer.async_wait(
      [self = shared_from_this(), attempt](const std::error_code &error) {
        if (!error && attempt == self->Attempt && self->Opening) {
          self->fail("no connection in time");
        }
      });
}

void OutboundLink::fail(const std::string &reason) {
  ++Attempt;
  Open = false;
  Writing = false;
  std::error_code ec;
  Socket.close(ec);
  if (Reached) {
    Reached = false;
    OnState(false, reason);
  }
  dropStale();
  if (Queue.empty()) {
    // The next message opens it again.
    Opening = false;
    return;
  }
  retryLater();
}

void OutboundLink::retryLater() {
  Opening = true;
  Timer.expires_after(RetryPause);
  Timer.async_wait([self = shared_from_this(),
                    attempt = Attempt](const std::error_code &error) {
    if (!error && attempt == self->Attempt && !self->Closed) {
      self->connect();
    }
  });
}

void OutboundLink::dropStale() {
  std::size_t dropped = 0;
  while (!Queue.empty() && now() - Queue.front().At > StaleAfter) {
    Queue.pop_front();
    ++dropped;
  }
  if (dropped > 0) {
    OnDrop(dropped);
  }
}

void OutboundLink::write() {
  if (Writing || Queue.empty()) {
    return;
  }
  Outgoing.clear();
  if (Sent == Acknowledged) {
    ProgressAt = now();
  }
  while (!Queue.empty() && Outgoing.size() < WriteBytes) {
    const std::string &payload = Queue.front().Payload;
    appendNumber(Outgoing, static_cast<std::uint32_t>(payload.size()));
    Outgoing += payload;
    Queue.pop_front();
    ++Sent;
  }
  Writing = true;
  asio::async_write(Socket, asio::buffer(Outgoing),
                    [self = shared_from_this(),
                     attempt = Attempt](const std::error_code &error, auto) {
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
  if (!Watching) {
    watch();
  }
}

/// Looks after a while whether what was sent has been acknowledged.
void OutboundLink::watch() {
  Watching = true;
  Watch.expires_at(ProgressAt + SilenceLimit);
  Watch.async_wait([self = shared_from_this()](const std::error_code &error) {
    self->Watching = false;
    if (error || self->Closed || !self->Open ||
        self->Sent == self->Acknowledged) {
      return;
    }
    if (now() - self->ProgressAt >= SilenceLimit) {
      self->fail("the connection fell silent");
      return;
    }
    self->watch();
  });
}

void OutboundLink::readAcknowledgement() {
  Socket.async_read_some(asio::buffer(Received),
                         [self = shared_from_this(), attempt = Attempt](
                             const std::error_code &error, std::size_t bytes) {
                           if (attempt != self->Attempt) {
                             return;
                           }
                           if (error) {
                             self->fail(error.message());
                             return;
                           }
                           self->PartialAck.append(self->Received.data(),
                                                   bytes);
                           while (self->PartialAck.size() >= FrameHeadBytes) {
                             self->Acknowledged = numberAt(self->PartialAck);
                             self->PartialAck.erase(0, FrameHeadBytes);
                             self->ProgressAt = now();
                           }
                           self->readAcknowledgement();
                         });
}

} // namespace masticwinch::peers::internal
