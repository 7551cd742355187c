#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/control/cell_service.hpp"

#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

#include "tests/coordination/cell/commands.hpp"
#include <memory>
#include <optional>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::control;
using trompeloeil::_;

namespace {

/// A log whose replies to proposals are set by the test.
class MockLog {
public:
  MAKE_MOCK1(propose, ProposalResult(const std::string &));
  MAKE_CONST_MOCK0(isLeader, bool());
  MAKE_CONST_MOCK0(leaderAddress, std::string());
};

/// Records every message that is sent.
class RecordingSender {
public:
  void send(const std::string &address, protocol::Envelope envelope) {
    Sent.push_back({address, std::move(envelope)});
  }

  struct Message {
    std::string Address;
    protocol::Envelope Content;
  };
  std::vector<Message> Sent;
};

const std::string Client = "tcp://client";
constexpr LogPosition First{1, 1};

protocol::Envelope commandFrom(protocol::Command command, std::uint64_t call) {
  protocol::Envelope envelope;
  envelope.set_reply_address(Client);
  envelope.mutable_command_request()->set_call(call);
  *envelope.mutable_command_request()->mutable_command() = std::move(command);
  return envelope;
}

protocol::Envelope helloFrom(const std::string &name, std::uint64_t revision) {
  protocol::Envelope envelope;
  envelope.set_reply_address("tcp://" + name);
  envelope.set_sender(name);
  envelope.set_incarnation(1);
  protocol::EntryHello *hello = envelope.mutable_entry_hello();
  hello->set_revision(revision);
  hello->set_sequence(7);
  return envelope;
}

/// The service of a leading process.
class Leader {
public:
  Leader() : Events({"control-1", 1, "/dev/null"}, Time) {
    Expectations.push_back(NAMED_ALLOW_CALL(Log, isLeader()).RETURN(Leads));
    Expectations.push_back(
        NAMED_ALLOW_CALL(Log, leaderAddress()).RETURN("tcp://leader"));
    Service.emplace(Log, Sender, Time, Events, CellServiceOptions{});
    Service->becomeLeader();
  }

  /// Commits a command for which no reply is pending.
  void commit(const protocol::Command &command) {
    Service->applied({++Committed, 1}, command.SerializeAsString());
  }

  bool Leads = true;
  std::uint64_t Committed = 0;
  ManualClock Time;
  EventLog Events;
  MockLog Log;
  RecordingSender Sender;
  std::vector<std::unique_ptr<trompeloeil::expectation>> Expectations;
  std::optional<CellService<MockLog, RecordingSender>> Service;
};

} // namespace

TEST_CASE("A command gets its reply when it is applied, not before",
          "[control][service]") {
  Leader leader;
  std::string record;
  REQUIRE_CALL(leader.Log, propose(_))
      .LR_SIDE_EFFECT(record = _1)
      .RETURN(First);
  leader.Service->receive(commandFrom(putProfile("sheet", 0), 42));
  REQUIRE(leader.Sender.Sent.empty());

  leader.Service->applied(First, record);

  REQUIRE(leader.Sender.Sent.size() == 1);
  CHECK(leader.Sender.Sent[0].Address == Client);
  const auto &reply = leader.Sender.Sent[0].Content.command_reply();
  CHECK(reply.call() == 42);
  CHECK(reply.taken());
  CHECK(reply.result().version() == 1);
}

TEST_CASE("A follower refuses commands and returns a leader hint",
          "[control][service]") {
  Leader leader;
  ALLOW_CALL(leader.Log, propose(_)).RETURN(ProposalRefusal::NotNow);
  leader.Service->receive(commandFrom(putProfile("sheet", 0), 1));

  REQUIRE(leader.Sender.Sent.size() == 1);
  const auto &reply = leader.Sender.Sent[0].Content.command_reply();
  CHECK_FALSE(reply.taken());
  CHECK(reply.leader_hint() == "tcp://leader");
}

TEST_CASE("A command that is too large for a record is refused for good",
          "[control][service]") {
  Leader leader;
  ALLOW_CALL(leader.Log, propose(_)).RETURN(ProposalRefusal::TooLarge);
  leader.Service->receive(commandFrom(putProfile("sheet", 0), 1));

  REQUIRE(leader.Sender.Sent.size() == 1);
  const auto &reply = leader.Sender.Sent[0].Content.command_reply();
  CHECK(reply.taken());
  CHECK(reply.result().code() == protocol::LIMIT);
}

TEST_CASE("A proposal overwritten by another leader gets no reply",
          "[control][service]") {
  Leader leader;
  ALLOW_CALL(leader.Log, propose(_)).RETURN(First);
  leader.Service->receive(commandFrom(putProfile("sheet", 0), 1));

  leader.Service->applied({1, 2}, joinEntry("other", 1).SerializeAsString());

  CHECK(leader.Sender.Sent.empty());
}

TEST_CASE("Only members get a lease", "[control][service]") {
  Leader leader;
  leader.Service->receive(helloFrom("entry-1", 0));
  REQUIRE(leader.Sender.Sent.size() == 1);
  CHECK_FALSE(leader.Sender.Sent[0].Content.entry_update().member());
  CHECK(leader.Sender.Sent[0].Content.entry_update().lease_ms() == 0);

  leader.commit(joinEntry("entry-1", 1));
  leader.Service->receive(helloFrom("entry-1", 0));

  const auto &update = leader.Sender.Sent.back().Content.entry_update();
  CHECK(update.member());
  CHECK(update.lease_ms() > 0);
  CHECK(update.sequence() == 7);
  CHECK(update.items_size() == 1);
}

TEST_CASE("A change is pushed to every entry VM and extends no lease",
          "[control][service]") {
  Leader leader;
  leader.commit(joinEntry("entry-1", 1));
  leader.Service->receive(helloFrom("entry-1", 1));
  leader.Sender.Sent.clear();

  leader.commit(putProfile("sheet", 0));

  REQUIRE(leader.Sender.Sent.size() == 1);
  CHECK(leader.Sender.Sent[0].Address == "tcp://entry-1");
  const auto &update = leader.Sender.Sent[0].Content.entry_update();
  CHECK(update.revision() == 2);
  CHECK(update.lease_ms() == 0);
  REQUIRE(update.items_size() == 1);
  CHECK(update.items(0).profile().name() == "sheet");
}

TEST_CASE("A restarted entry VM joins after its previous lease has expired",
          "[control][service]") {
  Leader leader;
  leader.commit(joinEntry("entry-1", 1));
  leader.Service->receive(helloFrom("entry-1", 1));
  leader.Sender.Sent.clear();
  {
    FORBID_CALL(leader.Log, propose(_));
    leader.Service->receive(commandFrom(joinEntry("entry-1", 2), 1));
  }
  REQUIRE(leader.Sender.Sent.size() == 1);
  CHECK_FALSE(leader.Sender.Sent[0].Content.command_reply().taken());

  const cell::EntryLeaseOptions leases;
  leader.Time.advance(leases.Lease + leases.DriftBound + Milliseconds(1));
  REQUIRE_CALL(leader.Log, propose(_)).RETURN(First);
  leader.Service->receive(commandFrom(joinEntry("entry-1", 2), 1));
}

TEST_CASE("Removal of lapsed entry VMs and upstreams is proposed once",
          "[control][service]") {
  Leader leader;
  leader.commit(joinEntry("entry-1", 1));
  leader.commit(announce("runner", 1));
  leader.Service->tick();
  leader.Time.advance(Milliseconds(10'001));
  std::vector<std::string> proposed;
  REQUIRE_CALL(leader.Log, propose(_))
      .TIMES(2)
      .LR_SIDE_EFFECT(proposed.push_back(_1))
      .RETURN(First);

  leader.Service->tick();
  leader.Service->tick();

  protocol::Command entry;
  REQUIRE(entry.ParseFromString(proposed[0]));
  CHECK(entry.leave_entry().lapsed());
  protocol::Command upstream;
  REQUIRE(upstream.ParseFromString(proposed[1]));
  CHECK(upstream.leave_upstream().lapsed());
}

TEST_CASE("An entry VM that joins late isn't removed before its first hello",
          "[control][service]") {
  Leader leader;
  leader.commit(joinEntry("entry-1", 1));
  leader.Time.advance(Milliseconds(60'000));
  leader.Service->receive(helloFrom("entry-1", 1));
  leader.commit(joinEntry("entry-2", 1));
  {
    FORBID_CALL(leader.Log, propose(_));
    leader.Service->tick();
  }
  const cell::EntryLeaseOptions leases;
  leader.Time.advance(leases.Lease + leases.DriftBound + Milliseconds(1));
  leader.Service->receive(helloFrom("entry-1", 1));
  std::string proposed;
  REQUIRE_CALL(leader.Log, propose(_))
      .LR_SIDE_EFFECT(proposed = _1)
      .RETURN(First);
  leader.Service->tick();
  protocol::Command yield;
  REQUIRE(yield.ParseFromString(proposed));
  CHECK(yield.yield_entry().name() == "entry-2");
  CHECK(yield.yield_entry().yielded());
}

TEST_CASE("An entry VM that lapsed and joined again isn't removed for its "
          "earlier silence",
          "[control][service]") {
  Leader leader;
  leader.commit(joinEntry("entry-1", 1));
  leader.commit(joinEntry("entry-2", 1));
  leader.Service->receive(helloFrom("entry-2", 2));
  const cell::EntryLeaseOptions leases;
  leader.Time.advance(leases.Lapse + Milliseconds(1));
  leader.Service->receive(helloFrom("entry-1", 2));
  protocol::Command lapse;
  lapse.mutable_leave_entry()->set_name("entry-2");
  lapse.mutable_leave_entry()->set_incarnation(1);
  lapse.mutable_leave_entry()->set_lapsed(true);
  leader.commit(lapse);
  leader.commit(joinEntry("entry-2", 1));

  FORBID_CALL(leader.Log, propose(_));
  leader.Service->tick();
}

TEST_CASE("An update states its base revision and the target incarnation",
          "[control][service]") {
  Leader leader;
  leader.commit(putProfile("sheet", 0));
  leader.commit(joinEntry("entry-1", 1));
  leader.Service->receive(helloFrom("entry-1", 2));
  leader.Sender.Sent.clear();

  // The entry VM restarted at the same address with an empty configuration.
  leader.commit(joinEntry("entry-1", 2));

  REQUIRE(leader.Sender.Sent.size() == 1);
  const auto &update = leader.Sender.Sent[0].Content.entry_update();
  CHECK(update.base_revision() == 2);
  CHECK(update.incarnation() == 1);
  cell::Configuration restarted;
  CHECK_FALSE(restarted.merge({update.items().begin(), update.items().end()},
                              update.base_revision(), update.revision()));
}
