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

/// Where a process receives messages and how it names itself in those it sends.
struct MailboxOptions {
  std::string Cluster;
  std::string Process;
  std::uint64_t Incarnation = 0;
  /// Address that is listened on and stated as the reply address, such as
  /// `tcp://10.0.0.1:7000`.
  std::string Address;
  /// Longer messages close the connection that they came on.
  std::size_t MaxMessageBytes = 4 * 1024 * 1024;
};

/// How much of itself a sender states in a message.
enum class EnvelopeHeader : std::uint8_t {
  Full,
  /// Neither incarnation nor reply address, for frequent small messages to a
  /// process that knows both.
  Short,
};

/// Bytes and messages that went through a mailbox.
struct MailboxTraffic {
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  /// Messages that were not queued because the peer was slow or gone.
  std::uint64_t DroppedMessages = 0;
};

/// Called with each message of the own cluster, from the mailbox's thread.
using MailboxHandler = std::function<void(protocol::Envelope)>;

/// Messages between the system's own processes: one listening address a
/// process, and sending that never blocks. Messages may be lost, late or
/// reordered with respect to other senders; every protocol on top allows for
/// that. Messages of another cluster and garbage are dropped with an event.
class Mailbox {
public:
  Mailbox(MailboxOptions options, MailboxHandler handler, EventLog &events);
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Starts to listen. Throws `std::runtime_error` with address and reason.
  void start();

  /// Queues a message, with cluster, sender, reply address and stamp filled in.
  /// Safe to use from several threads.
  void send(const std::string &address, protocol::Envelope envelope,
            EnvelopeHeader head = EnvelopeHeader::Full);

  /// Counters since the start; safe to use from several threads.
  MailboxTraffic traffic() const;

  const MailboxOptions &options() const { return Options; }

  /// Closes all connections; no handler runs after this returns. Not to be
  /// called from the handler.
  void stop();

private:
  struct Implementation;
  MailboxOptions Options;
  std::shared_ptr<Implementation> Impl;
};

} // namespace peers
} // namespace masticwinch
