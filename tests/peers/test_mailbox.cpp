#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "tests/peers/free_address.hpp"
#include <atomic>
#include <future>
#include <memory>
#include <thread>

using namespace masticwinch;
using namespace masticwinch::peers;
using masticwinch::tests::freeAddress;

namespace {

MailboxOptions optionsOf(const std::string &process,
                         const std::string &cluster = "test") {
  MailboxOptions options;
  options.Cluster = cluster;
  options.Process = process;
  options.Address = freeAddress();
  return options;
}

protocol::Envelope helloEnvelope() {
  protocol::Envelope envelope;
  envelope.mutable_entry_hello()->set_sequence(7);
  return envelope;
}

OperatingSystemClock Time;

/// A mailbox that counts what it receives.
class Receiver {
public:
  explicit Receiver(MailboxOptions options)
      : Events({options.Process, 1, "/dev/null"}, Time),
        Box(
            std::move(options),
            [this](const protocol::Envelope &) {
              if (++Received == 1) {
                First.set_value();
              }
            },
            Events) {
    Box.start();
  }

  EventLog Events;
  std::atomic<int> Received = 0;
  std::promise<void> First;
  Mailbox Box;
};

} // namespace

TEST_CASE("Messages arrive with sender, reply address and timestamp",
          "[peers]") {
  Receiver receiver(optionsOf("b"));
  EventLog events({"a", 1, "/dev/null"}, Time);
  std::promise<protocol::Envelope> arrived;
  Mailbox answers(
      optionsOf("c"), [&](protocol::Envelope it) { arrived.set_value(it); },
      events);
  answers.start();

  receiver.Box.send(answers.options().Address, helloEnvelope());

  const protocol::Envelope envelope = arrived.get_future().get();
  CHECK(envelope.sender() == "b");
  CHECK(envelope.reply_address() == receiver.Box.options().Address);
  CHECK(envelope.hlc_millis() > 0);
  CHECK(envelope.entry_hello().sequence() == 7);
}

TEST_CASE("Messages of another cell are dropped", "[peers]") {
  Receiver receiver(optionsOf("b"));
  Receiver otherCluster(optionsOf("a", "another"));
  Receiver sameCluster(optionsOf("c"));
  while (receiver.Box.traffic().ReceivedMessages == 0) {
    otherCluster.Box.send(receiver.Box.options().Address, helloEnvelope());
    std::this_thread::yield();
  }
  CHECK(receiver.Received == 0);
  sameCluster.Box.send(receiver.Box.options().Address, helloEnvelope());
  receiver.First.get_future().wait();
  CHECK(receiver.Received == 1);
}

TEST_CASE("Messages to a silent peer are dropped once the queue is full",
          "[peers]") {
  // The kernel accepts the connection, and nothing reads from it.
  asio::io_context context;
  asio::ip::tcp::acceptor silent(context,
                                 {asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "tcp://127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  MailboxOptions options = optionsOf("sender");
  options.MaxQueuedBytes = 8 * 1024 * 1024;
  Receiver sender(options);
  protocol::Envelope envelope = helloEnvelope();
  envelope.mutable_replication()
      ->mutable_append_request()
      ->add_entries()
      ->set_data(std::string(100'000, 'x'));
  std::uint64_t most = 0;
  for (int i = 0; i < 2000; ++i) {
    sender.Box.send(address, envelope);
    most = std::max(most, sender.Box.traffic().QueuedBytes);
  }
  CHECK(most <= options.MaxQueuedBytes);
  CHECK(sender.Box.traffic().DroppedMessages > 0);
}

TEST_CASE("A mailbox can be stopped while several senders send messages",
          "[peers]") {
  constexpr int Rounds = 15;
  constexpr int Senders = 4;
  for (int round = 0; round < Rounds; ++round) {
    auto receiver = std::make_unique<Receiver>(optionsOf("b"));
    const std::string address = receiver->Box.options().Address;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
    for (int i = 0; i < Senders; ++i) {
      threads.emplace_back([&] {
        Receiver sender(optionsOf("a"));
        while (!stopping) {
          sender.Box.send(address, helloEnvelope());
        }
      });
    }
    receiver->First.get_future().wait();
    receiver->Box.stop();
    const int received = receiver->Received;
    stopping = true;
    for (std::thread &it : threads) {
      it.join();
    }
    CHECK(receiver->Received == received);
  }
}
