#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace masticwinch::peers::internal {

/// A connection that a peer opened to send messages. It passes complete
/// messages to a handler, and acknowledges the number of messages received a
/// short delay after the first unacknowledged one. Runs on a single event loop.
class InboundConnection
    : public std::enable_shared_from_this<InboundConnection> {
public:
  /// Called with each message. Returns false to close the connection.
  using MessageHandler = std::function<bool(std::string_view payload)>;
  /// Called once when the connection has ended, unless `close` was called.
  using EndHandler =
      std::function<void(const std::shared_ptr<InboundConnection> &)>;
  /// Called with the memory that an unfinished message takes when it changes.
  using HeldHandler = std::function<void(std::size_t bytes)>;

  InboundConnection(asio::ip::tcp::socket socket, std::size_t maxMessageBytes,
                    MessageHandler onMessage, HeldHandler onHeld,
                    EndHandler onEnd);

  void start();
  void close();

private:
  void read();
  bool processFrames();
  void scheduleAcknowledgement();
  void acknowledge();
  void end();
  void reportHeld();

  asio::ip::tcp::socket Socket;
  asio::steady_timer AckTimer;
  const std::size_t MaxMessageBytes;
  MessageHandler OnMessage;
  HeldHandler OnHeld;
  EndHandler OnEnd;
  bool Closed = false;
  bool AckScheduled = false;
  bool AckWriting = false;
  std::uint32_t MessageCount = 0;
  std::string AckBytes;
  std::array<char, 65536> Chunk{};
  std::string Buffer;
  std::size_t HeldBytes = 0;
};

} // namespace masticwinch::peers::internal
