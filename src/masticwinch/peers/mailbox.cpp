#include "masticwinch/peers/mailbox.hpp"

#include "masticwinch/common/held_bytes.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/internal/connection_order.hpp"
#include "masticwinch/peers/internal/inbound_connection.hpp"
#include "masticwinch/peers/internal/outbound_connection.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <charconv>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace masticwinch::peers {

enum class MailboxEvent : std::uint8_t {
  Garbage,
  OtherCluster,
  BadAddress,
  PeerLost,
  PeerReached,
  AcceptFailed,
  Outdated,
  ClosedForMemory,
};

} // namespace masticwinch::peers

namespace masticwinch {

template <> struct EnumNames<peers::MailboxEvent> {
  static constexpr std::array<EnumName<peers::MailboxEvent>, 8> Table{{
      {peers::MailboxEvent::Garbage, "message_garbage"},
      {peers::MailboxEvent::OtherCluster, "message_of_other_cluster"},
      {peers::MailboxEvent::BadAddress, "message_address_malformed"},
      {peers::MailboxEvent::PeerLost, "peer_lost"},
      {peers::MailboxEvent::PeerReached, "peer_reached"},
      {peers::MailboxEvent::AcceptFailed, "accept_failed"},
      {peers::MailboxEvent::Outdated, "message_outdated"},
      {peers::MailboxEvent::ClosedForMemory, "messages_closed_for_memory"},
  }};
};

} // namespace masticwinch

namespace masticwinch::peers {

namespace {

using asio::ip::tcp;

constexpr Milliseconds AcceptRetryDelay{100};

/// Parses `tcp://IP:PORT`; nothing if it is malformed.
std::optional<tcp::endpoint> endpointOf(const std::string &address) {
  constexpr std::string_view Scheme = "tcp://";
  const std::size_t colon = address.rfind(':');
  if (!address.starts_with(Scheme) || colon < Scheme.size()) {
    return std::nullopt;
  }
  std::error_code ec;
  const asio::ip::address ip = asio::ip::make_address(
      address.substr(Scheme.size(), colon - Scheme.size()), ec);
  std::uint16_t port = 0;
  const char *last = address.data() + address.size();
  const auto [end, error] =
      std::from_chars(address.data() + colon + 1, last, port);
  if (ec || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

} // namespace

struct Mailbox::Implementation {
  Implementation(const MailboxOptions &options, MailboxHandler handler,
                 EventLog &events)
      : Options(options), Handler(std::move(handler)), Events(events),
        Acceptor(Context), AcceptRetryTimer(Context),
        Work(asio::make_work_guard(Context)),
        Unfinished(options.MaxUnfinishedBytes) {}

  void listen() {
    const std::string &address =
        Options.ListenAddress.empty() ? Options.Address : Options.ListenAddress;
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
      throw std::runtime_error("can't listen on " + address +
                               ": must be tcp://IP:PORT");
    }
    try {
      Acceptor.open(endpoint->protocol());
      Acceptor.set_option(tcp::acceptor::reuse_address(true));
      Acceptor.bind(*endpoint);
      Acceptor.listen();
    } catch (const std::system_error &error) {
      throw std::runtime_error("can't listen on " + address + ": " +
                               error.what());
    }
    accept();
    Thread = std::thread([this] { Context.run(); });
  }

  void accept() {
    Acceptor.async_accept(
        [this](const std::error_code &ec, tcp::socket socket) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            addInbound(std::move(socket));
            accept();
            return;
          }
          Events.write(MailboxEvent::AcceptFailed, {{"reason", ec.message()}});
          scheduleAccept();
        });
  }

  /// Retries to accept after a delay: an error such as too many open files
  /// lasts, and an immediate retry would only keep the thread busy.
  void scheduleAccept() {
    AcceptRetryTimer.expires_after(AcceptRetryDelay);
    AcceptRetryTimer.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        accept();
      }
    });
  }

  void addInbound(tcp::socket socket) {
    const std::uint64_t number = NextInbound++;
    const auto connection = std::make_shared<internal::InboundConnection>(
        std::move(socket), Options.MaxMessageBytes,
        [this, id = std::optional<internal::ConnectionId>()](
            std::string_view payload) mutable { return receive(id, payload); },
        [this, number](std::size_t bytes) { held(number, bytes); },
        [this, number](const std::shared_ptr<internal::InboundConnection> &) {
          Unfinished.forget(number);
          Inbound.erase(number);
        });
    Inbound.emplace(number, connection);
    connection->start();
  }

  /// Records what an unfinished message of a connection takes, and closes the
  /// connections that give way.
  void held(std::uint64_t number, std::size_t bytes) {
    Unfinished.received(number, bytes, {}, Time.now());
    while (Unfinished.isExceeded()) {
      const auto oldest =
          Unfinished.longestHolding([](std::uint64_t) { return true; });
      if (!oldest) {
        return;
      }
      Unfinished.forget(*oldest);
      ClosedForMemory += 1;
      Events.write(MailboxEvent::ClosedForMemory,
                   {{"unfinished_bytes", Unfinished.total()},
                    {"limit_bytes", Unfinished.limit()}});
      if (const auto it = Inbound.extract(*oldest)) {
        it.mapped()->close();
      }
    }
  }

  /// Handles a message of a connection, which is identified by its first one.
  /// Returns whether the connection is still of use.
  bool receive(std::optional<internal::ConnectionId> &connection,
               std::string_view payload) {
    if (Stopped) {
      return true;
    }
    ReceivedMessages += 1;
    ReceivedBytes += payload.size();
    protocol::Envelope envelope;
    if (!envelope.ParseFromArray(payload.data(),
                                 static_cast<int>(payload.size()))) {
      Events.write(MailboxEvent::Garbage, {{"bytes", payload.size()}});
      return true;
    }
    if (envelope.cluster() != Options.Cluster) {
      Events.write(
          MailboxEvent::OtherCluster,
          {{"sender", envelope.sender()}, {"cluster", envelope.cluster()}});
      return true;
    }
    if (envelope.has_connection_opened()) {
      connection = idOf(envelope);
      return isInOrder(Order.opened(*connection), *connection);
    }
    if (connection && !isInOrder(Order.isLatest(*connection), *connection)) {
      return false;
    }
    Events.hybridClock().observe(
        {envelope.hlc_millis(), envelope.hlc_counter()});
    Handler(std::move(envelope));
    return true;
  }

  static internal::ConnectionId idOf(const protocol::Envelope &envelope) {
    const protocol::ConnectionOpened &opened = envelope.connection_opened();
    return {envelope.sender() + ' ' + std::to_string(envelope.incarnation()) +
                ' ' + opened.address(),
            opened.number()};
  }

  /// Counts and logs the message if it is outdated.
  bool isInOrder(bool isLatest, const internal::ConnectionId &connection) {
    if (!isLatest) {
      OutdatedMessages += 1;
      Events.write(MailboxEvent::Outdated, {{"sender", connection.Sender},
                                            {"connection", connection.Number}});
    }
    return isLatest;
  }

  std::string openingMessage(const std::string &address,
                             std::uint64_t number) const {
    protocol::Envelope envelope;
    envelope.set_cluster(Options.Cluster);
    envelope.set_sender(Options.Process);
    envelope.set_incarnation(Options.Incarnation);
    envelope.mutable_connection_opened()->set_address(address);
    envelope.mutable_connection_opened()->set_number(number);
    return envelope.SerializeAsString();
  }

  void enqueue(const std::string &address, std::string payload) {
    auto it = Outbound.find(address);
    if (it == Outbound.end()) {
      it = Outbound.emplace(address, openConnection(address)).first;
    }
    if (!it->second) {
      DroppedMessages += 1;
      QueuedBytes -= payload.size();
      return;
    }
    it->second->send(std::move(payload));
  }

  /// Returns null for a malformed address.
  std::shared_ptr<internal::OutboundConnection>
  openConnection(const std::string &address) {
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
      Events.write(MailboxEvent::BadAddress, {{"address", address}});
      return nullptr;
    }
    return std::make_shared<internal::OutboundConnection>(
        Context, *endpoint, QueuedBytes,
        [this, address](std::uint64_t number) {
          return openingMessage(address, number);
        },
        [this, address](bool reachable, const std::string &reason) {
          Events.write(reachable ? MailboxEvent::PeerReached
                                 : MailboxEvent::PeerLost,
                       {{"address", address}, {"reason", reason}});
        },
        [this](std::size_t count) { DroppedMessages += count; });
  }

  void close() {
    std::error_code ec;
    Acceptor.close(ec);
    AcceptRetryTimer.cancel();
    for (const auto &[number, connection] : std::exchange(Inbound, {})) {
      connection->close();
    }
    for (const auto &[address, connection] : std::exchange(Outbound, {})) {
      if (connection) {
        connection->close();
      }
    }
  }

  const MailboxOptions Options;
  MailboxHandler Handler;
  EventLog &Events;
  asio::io_context Context{1};
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetryTimer;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::thread Thread;
  OperatingSystemClock Time;
  std::map<std::uint64_t, std::shared_ptr<internal::InboundConnection>> Inbound;
  std::uint64_t NextInbound = 1;
  HeldBytes Unfinished;
  internal::ConnectionOrder Order;
  std::unordered_map<std::string, std::shared_ptr<internal::OutboundConnection>>
      Outbound;
  std::atomic<bool> Stopped = false;
  std::atomic<std::uint64_t> SentMessages = 0;
  std::atomic<std::uint64_t> SentBytes = 0;
  std::atomic<std::uint64_t> ReceivedMessages = 0;
  std::atomic<std::uint64_t> ReceivedBytes = 0;
  std::atomic<std::uint64_t> DroppedMessages = 0;
  std::atomic<std::uint64_t> OutdatedMessages = 0;
  std::atomic<std::uint64_t> ClosedForMemory = 0;
  std::atomic<std::uint64_t> QueuedBytes = 0;
};

Mailbox::Mailbox(MailboxOptions options, MailboxHandler handler,
                 EventLog &events)
    : Options(std::move(options)), Impl(std::make_shared<Implementation>(
                                       Options, std::move(handler), events)) {}

Mailbox::~Mailbox() { stop(); }

void Mailbox::start() { Impl->listen(); }

void Mailbox::send(const std::string &address, protocol::Envelope envelope,
                   EnvelopeHeader head) {
  if (Impl->Stopped) {
    return;
  }
  const HybridStamp stamp = Impl->Events.hybridClock().tick();
  envelope.set_cluster(Options.Cluster);
  envelope.set_sender(Options.Process);
  if (head == EnvelopeHeader::Full) {
    envelope.set_incarnation(Options.Incarnation);
    envelope.set_reply_address(Options.Address);
  }
  envelope.set_hlc_millis(stamp.Millis);
  envelope.set_hlc_counter(stamp.Counter);
  std::string bytes = envelope.SerializeAsString();
  if (Impl->QueuedBytes + bytes.size() > Options.MaxQueuedBytes) {
    Impl->DroppedMessages += 1;
    return;
  }
  Impl->QueuedBytes += bytes.size();
  Impl->SentMessages += 1;
  Impl->SentBytes += bytes.size();
  asio::post(Impl->Context, [implementation = Impl.get(), address,
                             payload = std::move(bytes)]() mutable {
    implementation->enqueue(address, std::move(payload));
  });
}

MailboxTraffic Mailbox::traffic() const {
  return {Impl->SentMessages,    Impl->SentBytes,       Impl->ReceivedMessages,
          Impl->ReceivedBytes,   Impl->DroppedMessages, Impl->OutdatedMessages,
          Impl->ClosedForMemory, Impl->QueuedBytes};
}

void Mailbox::stop() {
  if (Impl->Stopped.exchange(true) || !Impl->Thread.joinable()) {
    return;
  }
  asio::post(Impl->Context, [implementation = Impl.get()] {
    implementation->close();
    implementation->Work.reset();
    implementation->Context.stop();
  });
  Impl->Thread.join();
}

} // namespace masticwinch::peers
