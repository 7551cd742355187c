#pragma once

#include "masticwinch/common/clock.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace masticwinch::peers::internal {

/// The connection for messages to one peer. It is reopened when connecting
/// takes too long, when it breaks, and when acknowledgements stop: the peer
/// acknowledges the messages that it received, and without that check a broken
/// network path could leave a dead connection open for good. Messages in
/// transit on a failed connection are lost; messages queued for too long are
/// dropped. Runs on a single event loop.
class OutboundConnection
    : public std::enable_shared_from_this<OutboundConnection> {
public:
  /// Called when the peer becomes reachable or unreachable.
  using StateHandler = std::function<void(bool reachable, std::string reason)>;
  /// Returns the first message of a connection, which has this number.
  using OpeningMessage = std::function<std::string(std::uint64_t number)>;
  /// Called with the number of messages that were dropped.
  using DropHandler = std::function<void(std::size_t count)>;

  /// `queuedBytes` counts the bytes that wait in all connections of a mailbox.
  OutboundConnection(asio::io_context &context, asio::ip::tcp::endpoint peer,
                     std::atomic<std::uint64_t> &queuedBytes,
                     OpeningMessage openingMessage, StateHandler onState,
                     DropHandler onDrop);

  /// Queues a message whose size `queuedBytes` already includes.
  void send(std::string payload);
  void close();

private:
  struct QueuedMessage {
    std::string Payload;
    SteadyTime QueuedAt;
  };

  void connect();
  void retryLater();
  void fail(const std::string &reason);
  void write();
  void appendFrame(const std::string &payload);
  void readAcknowledgement();
  void awaitAcknowledgement();
  void dropStale();
  std::string takeFirst();

  const asio::ip::tcp::endpoint Peer;
  std::atomic<std::uint64_t> &TotalQueuedBytes;
  OpeningMessage FirstMessage;
  StateHandler OnState;
  DropHandler OnDrop;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  asio::steady_timer AckTimer;
  /// Incremented for each connection, so that callbacks of earlier connections
  /// are recognized and ignored.
  std::uint64_t Attempt = 0;
  bool Closed = false;
  bool Opening = false;
  bool Open = false;
  /// The opening message of this connection has been written.
  bool Announced = false;
  bool Writing = false;
  bool PeerReachable = true;
  bool AckTimerRunning = false;
  std::deque<QueuedMessage> Queue;
  /// Size of the messages in `Queue`.
  std::size_t QueuedBytes = 0;
  std::string Outgoing;
  std::uint32_t Sent = 0;
  std::uint32_t Acknowledged = 0;
  SteadyTime LastProgressAt{};
  std::array<char, 64> AckBuffer{};
  std::string PartialAck;
};

} // namespace masticwinch::peers::internal
