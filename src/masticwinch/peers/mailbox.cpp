#include "masticwinch/peers/mailbox.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace masticwinch::peers {

enum class MailboxEvent : std::uint8_t {
  Garbage,
  OtherCluster,
  DialFailed,
  CloseStuck,
};

} // namespace masticwinch::peers

namespace masticwinch {

template <> struct EnumNames<peers::MailboxEvent> {
  static constexpr std::array<EnumName<peers::MailboxEvent>, 4> Table{{
      {peers::MailboxEvent::Garbage, "message_garbage"},
      {peers::MailboxEvent::OtherCluster, "message_of_other_cluster"},
      {peers::MailboxEvent::DialFailed, "message_dial_failed"},
      {peers::MailboxEvent::CloseStuck, "message_close_stuck"},
  }};
};

} // namespace masticwinch

namespace masticwinch::peers {

namespace {

constexpr int SendQueueMessages = 512;
constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 500;

/// Longest time that stopping waits for the sockets to close.
constexpr Milliseconds CloseLimit{1'000};

} // namespace

struct Mailbox::Implementation {
  Implementation(const MailboxOptions &options, MailboxHandler handler,
                 EventLog &events)
      : Options(options), Handler(std::move(handler)), Events(events) {}

  static void onReceived(void *argument) {
    static_cast<Implementation *>(argument)->takeReceived();
  }

  void takeReceived() {
    if (nng_aio_result(Receiving) != 0) {
      return;
    }
    nng_msg *message = nng_aio_get_msg(Receiving);
    take(message);
    nng_msg_free(message);
    if (!Stopped) {
      nng_recv_aio(Inbox, Receiving);
    }
  }

  void take(nng_msg *message) {
    std::lock_guard lock(HandlerMutex);
    if (Stopped) {
      return;
    }
    ReceivedMessages += 1;
    ReceivedBytes += nng_msg_len(message);
    protocol::Envelope envelope;
    if (!envelope.ParseFromArray(nng_msg_body(message),
                                 static_cast<int>(nng_msg_len(message)))) {
      Events.write(MailboxEvent::Garbage, {{"bytes", nng_msg_len(message)}});
      return;
    }
    if (envelope.cluster() != Options.Cluster) {
      Events.write(
          MailboxEvent::OtherCluster,
          {{"sender", envelope.sender()}, {"cluster", envelope.cluster()}});
      return;
    }
    Events.hybridClock().observe(
        {envelope.hlc_millis(), envelope.hlc_counter()});
    Handler(std::move(envelope));
  }

  /// The socket that pushes to an address, opened at the first use.
  nng_socket socketFor(const std::string &address) {
    std::lock_guard lock(Mutex);
    const auto it = Outboxes.find(address);
    if (it != Outboxes.end()) {
      return it->second;
    }
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0) {
      return socket;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, SendQueueMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    const int ec =
        nng_dial(socket, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (ec != 0) {
      Events.write(MailboxEvent::DialFailed,
                   {{"address", address}, {"reason", nng_strerror(ec)}});
    }
    Outboxes.emplace(address, socket);
    return socket;
  }

  /// Closes every socket. nng 1.5 sometimes never returns from closing a
  /// socket on which messages arrive.
  void close() {
    nng_close(Inbox);
    nng_aio_stop(Receiving);
    nng_aio_free(Receiving);
    std::lock_guard lock(Mutex);
    for (const auto &it : Outboxes) {
      nng_close(it.second);
    }
  }

  const MailboxOptions Options;
  MailboxHandler Handler;
  EventLog &Events;
  /// Held while the handler runs and while `Stopped` is set.
  std::mutex HandlerMutex;
  nng_socket Inbox = NNG_SOCKET_INITIALIZER;
  nng_aio *Receiving = nullptr;
  std::mutex Mutex;
  std::unordered_map<std::string, nng_socket> Outboxes;
  std::atomic<bool> Stopped = false;
  std::atomic<std::uint64_t> SentMessages = 0;
  std::atomic<std::uint64_t> SentBytes = 0;
  std::atomic<std::uint64_t> ReceivedMessages = 0;
  std::atomic<std::uint64_t> ReceivedBytes = 0;
  std::atomic<std::uint64_t> DroppedMessages = 0;
};

Mailbox::Mailbox(MailboxOptions options, MailboxHandler handler,
                 EventLog &events)
    : Options(std::move(options)), Impl(std::make_shared<Implementation>(
                                       Options, std::move(handler), events)) {}

Mailbox::~Mailbox() { stop(); }

void Mailbox::start() {
  int ec = nng_pull0_open(&Impl->Inbox);
  if (ec == 0) {
    nng_socket_set_size(Impl->Inbox, NNG_OPT_RECVMAXSZ,
                        Options.MaxMessageBytes);
    ec = nng_listen(Impl->Inbox, Options.Address.c_str(), nullptr, 0);
  }
  if (ec == 0) {
    ec = nng_aio_alloc(&Impl->Receiving, &Implementation::onReceived,
                       Impl.get());
  }
  if (ec != 0) {
    throw std::runtime_error("can't listen on " + Options.Address + ": " +
                             nng_strerror(ec));
  }
  nng_recv_aio(Impl->Inbox, Impl->Receiving);
}

void Mailbox::send(const std::string &address, protocol::Envelope envelope,
                   EnvelopeHead head) {
  if (Impl->Stopped) {
    return;
  }
  const HybridStamp stamp = Impl->Events.hybridClock().tick();
  envelope.set_cluster(Options.Cluster);
  envelope.set_sender(Options.Process);
  if (head == EnvelopeHead::Full) {
    envelope.set_incarnation(Options.Incarnation);
    envelope.set_reply_address(Options.Address);
  }
  envelope.set_hlc_millis(stamp.Millis);
  envelope.set_hlc_counter(stamp.Counter);
  std::string bytes = envelope.SerializeAsString();
  const int ec = nng_send(Impl->socketFor(address), bytes.data(), bytes.size(),
                          NNG_FLAG_NONBLOCK);
  if (ec != 0) {
    Impl->DroppedMessages += 1;
    return;
  }
  Impl->SentMessages += 1;
  Impl->SentBytes += bytes.size();
}

MailboxTraffic Mailbox::traffic() const {
  return {Impl->SentMessages, Impl->SentBytes, Impl->ReceivedMessages,
          Impl->ReceivedBytes, Impl->DroppedMessages};
}

void Mailbox::stop() {
  {
    std::lock_guard lock(Impl->HandlerMutex);
    if (Impl->Stopped.exchange(true)) {
      return;
    }
  }
  if (Impl->Receiving == nullptr) {
    return;
  }
  std::promise<void> closed;
  std::future<void> end = closed.get_future();
  std::thread closing([impl = Impl, closed = std::move(closed)]() mutable {
    impl->close();
    closed.set_value();
  });
  if (end.wait_for(CloseLimit) == std::future_status::ready) {
    closing.join();
    return;
  }
  Impl->Events.write(MailboxEvent::CloseStuck);
  closing.detach();
}

} // namespace masticwinch::peers
