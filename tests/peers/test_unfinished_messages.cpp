#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"
#include "tests/peers/free_address.hpp"
#include <future>
#include <list>
#include <string>

using namespace masticwinch;
using namespace masticwinch::peers;
using masticwinch::testing::eventually;
using masticwinch::testing::RawCaller;
using masticwinch::tests::freeAddress;

namespace {

std::uint16_t portOf(const std::string &address) {
  return static_cast<std::uint16_t>(
      std::stoul(address.substr(address.rfind(':') + 1)));
}

} // namespace

TEST_CASE("The oldest unfinished message gives way when connections hold too "
          "much",
          "[peers]") {
  constexpr std::size_t MessageBytes = 400'000;
  OperatingSystemClock time;
  EventLog events({"a", 1, "/dev/null"}, time);
  MailboxOptions options;
  options.Cluster = "test";
  options.Process = "a";
  options.Address = freeAddress();
  options.MaxUnfinishedBytes = 3 * MessageBytes;
  std::promise<void> arrived;
  Mailbox receiver(
      options, [&](const protocol::Envelope &) { arrived.set_value(); },
      events);
  receiver.start();

  std::string unfinished;
  for (int shift = 24; shift >= 0; shift -= 8) {
    unfinished += static_cast<char>(MessageBytes >> shift & 0xFF);
  }
  unfinished.append(MessageBytes - 1, 'x');
  std::list<RawCaller> senders;
  for (int i = 0; i < 8; ++i) {
    senders.emplace_back(portOf(options.Address));
    senders.back().send(unfinished);
  }
  CHECK(eventually([&] { return receiver.traffic().ClosedForMemory > 0; }));
  CHECK(senders.front().isClosedWithin(std::chrono::seconds(3)));
  CHECK_FALSE(senders.back().isClosedWithin(std::chrono::milliseconds(300)));

  MailboxOptions other = options;
  other.Process = "b";
  other.Address = freeAddress();
  Mailbox sender(
      other, [](const protocol::Envelope &) {}, events);
  sender.start();
  protocol::Envelope envelope;
  envelope.mutable_entry_hello()->set_sequence(7);
  sender.send(options.Address, std::move(envelope));
  CHECK(arrived.get_future().wait_for(std::chrono::seconds(5)) ==
        std::future_status::ready);
  sender.stop();
  receiver.stop();
}
