#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/mailbox.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "tests/peers/free_address.hpp"
#include <atomic>
#include <future>
#include <string>

using namespace masticwinch;
using namespace masticwinch::peers;
using masticwinch::tests::freeAddress;

namespace {

OperatingSystemClock Time;

constexpr std::uint64_t FormerIncarnation = 1'796'330'000'123'456;
constexpr std::uint64_t NextIncarnation = FormerIncarnation + 1'000'000;

MailboxOptions optionsOf(const std::string &process, std::uint64_t incarnation,
                         const std::string &address) {
  MailboxOptions options;
  options.Cluster = "test";
  options.Process = process;
  options.Incarnation = incarnation;
  options.Address = address;
  return options;
}

/// One life of an entry VM with a client.
class EntryProcess {
public:
  EntryProcess(std::uint64_t incarnation, const std::string &address,
               const std::string &control)
      : Events({"entry-1", incarnation, "/dev/null"}, Time),
        Box(
            optionsOf("entry-1", incarnation, address),
            [](const protocol::Envelope &) {}, Events),
        Client(Context, Box, {{control}}) {
    Box.start();
  }

  asio::io_context Context;
  EventLog Events;
  Mailbox Box;
  CellClient Client;
};

/// A control VM that doesn't answer.
class SilentControl {
public:
  explicit SilentControl(const std::string &address)
      : Events({"control-1", 1, "/dev/null"}, Time),
        Box(
            optionsOf("control-1", 1, address),
            [this](const protocol::Envelope &it) {
              if (++Received == 1) {
                First.set_value(it);
              }
            },
            Events) {
    Box.start();
  }

  std::atomic<int> Received = 0;
  std::promise<protocol::Envelope> First;
  EventLog Events;
  Mailbox Box;
};

} // namespace

TEST_CASE("The answer to a command of a process's former life is not taken for "
          "that to one of the next",
          "[peers]") {
  const std::string address = freeAddress();
  const std::string controlAddress = freeAddress();
  SilentControl control(controlAddress);
  protocol::Envelope late;
  late.set_reply_address(controlAddress);
  late.mutable_command_reply()->set_taken(true);
  late.mutable_command_reply()->mutable_result()->set_code(protocol::ACCEPTED);
  {
    EntryProcess former(FormerIncarnation, address, controlAddress);
    former.Client.submit({}, [](CellCallOutcome, const auto &) {});
    const protocol::Envelope asked = control.First.get_future().get();
    late.mutable_command_reply()->set_call(asked.command_request().call());
  }
  EntryProcess next(NextIncarnation, address, controlAddress);
  bool answered = false;
  next.Client.submit(
      {}, [&answered](CellCallOutcome, const auto &) { answered = true; });

  next.Client.receive(late);

  CHECK_FALSE(answered);
}
