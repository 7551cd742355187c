#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticwinch::protocol {
class Envelope;
} // namespace masticwinch::protocol

namespace masticwinch {

class EventLog;

namespace peers {

/// Address of a process for messages, and its identity in those that it sends.
struct MailboxOptions {
  std::string Cluster;
  std::string Process;
  std::uint64_t Incarnation = 0;
  /// Address that is sent as the reply address, such as `tcp://10.0.0.5:7000`.
  std::string Address;
  /// Address to listen on; empty for `Address`.
  std::string ListenAddress = {};
  /// A longer message closes the connection on which it is received.
  std::size_t MaxMessageBytes = 4 * 1024 * 1024;
  /// Most memory that unfinished messages of all connections hold together.
  /// Beyond it, the connection whose message has been unfinished for longest is
  /// closed.
  std::size_t MaxUnfinishedBytes = 24UL * 1024 * 1024;
  /// Size of the messages waiting to be sent, to all peers together, at which
  /// further ones are dropped.
  std::size_t MaxQueuedBytes = 16 * 1024 * 1024;
};

/// Which header fields a sender adds to a message.
enum class EnvelopeHeader : std::uint8_t {
  Full,
  /// Without incarnation and reply address, for frequent small messages to a
  /// process that knows both.
  Short,
};

/// Counters of the messages and bytes sent and received by a mailbox.
struct MailboxTraffic {
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  /// Messages dropped before sending, because the peer was slow or unreachable
  /// or its address malformed.
  std::uint64_t DroppedMessages = 0;
  /// Messages dropped on arrival, because a later connection of their sender
  /// had delivered some.
  std::uint64_t OutdatedMessages = 0;
  /// Connections closed since unfinished messages held too many bytes.
  std::uint64_t ClosedForMemory = 0;
  /// Size of the messages waiting to be sent at the moment.
  std::uint64_t QueuedBytes = 0;
};

/// Called on the mailbox's thread with each message of its own cluster.
using MailboxHandler = std::function<void(protocol::Envelope)>;

/// Sends and receives messages between the system's own processes. Each process
/// listens on one address, and sending never blocks. Messages may be lost,
/// delayed or reordered relative to those of other senders; every protocol on
/// top allows for that. Those of one process to another arrive in order or are
/// lost, also if a connection was given up between them. Malformed messages and
/// those of another cluster are logged and dropped.
class Mailbox {
public:
  Mailbox(MailboxOptions options, MailboxHandler handler, EventLog &events);
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Starts to listen. Throws `std::runtime_error` with the address and the
  /// reason if that fails.
  void start();

  /// Queues a message after filling in cluster, sender, reply address and
  /// timestamp. Thread-safe.
  void send(const std::string &address, protocol::Envelope envelope,
            EnvelopeHeader head = EnvelopeHeader::Full);

  /// Counters since the start. Thread-safe.
  MailboxTraffic traffic() const;

  const MailboxOptions &options() const { return Options; }

  /// Closes all connections; no handler runs after this returns. Must not be
  /// called from the handler.
  void stop();

private:
  struct Implementation;
  MailboxOptions Options;
  std::shared_ptr<Implementation> Impl;
};

} // namespace peers
} // namespace masticwinch
