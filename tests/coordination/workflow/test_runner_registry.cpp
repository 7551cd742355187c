#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const RunKey Run{{{"w", 0, 0}, 0}, 1};
const ResourceAmounts Core{1000, 1024, 0};

StartOrder startOf(const RunKey &run) {
  StartOrder order;
  order.Runner = "r";
  order.Run = run;
  return order;
}

StopOrder stopOf(const RunKey &run) {
  StopOrder order;
  order.Runner = "r";
  order.Run = run;
  return order;
}

/// A registry with the runner "r", and a simulated clock.
struct Fixture {
  RunnerRegistryOptions Options;
  RunnerRegistry Registry{Options, [](const StepKey &) { return Core; }};
  SteadyTime Now{std::chrono::seconds(100)};
  /// The runner's clock, in milliseconds.
  std::int64_t RunnerClockMs = 5'000'000;

  Fixture() { Registry.add(runnerOf("r"), Now); }

  void pass(Milliseconds time) {
    Now += time;
    RunnerClockMs += time.count();
  }

  const RunnerEntry &runner() const { return *Registry.find("r"); }

  /// Ticks and returns the poll that is sent.
  PollOrder poll() {
    Registry.tick(Now);
    RunnerRegistryEffects effects = Registry.takeEffects();
    std::move(effects.Ends.begin(), effects.Ends.end(),
              std::back_inserter(Ends));
    REQUIRE(effects.Polls.size() == 1);
    Sent = effects.Polls.front();
    return Sent;
  }

  void answerPoll(PollAnswer answer = {}) {
    const PollOrder sent = poll();
    answer.Answer = OrderAnswer::Done;
    answer.ClockMs = RunnerClockMs;
    pass(Milliseconds(1));
    Registry.pollAnswered(sent, answer, Now);
  }

  void failPoll() {
    const PollOrder sent = poll();
    pass(Milliseconds(1));
    Registry.pollAnswered(sent, PollAnswer(), Now);
    pass(Options.RetryDelay);
  }

  /// Adopts the runner and starts the run.
  void start() {
    answerPoll();
    TrackedRun trackedRun;
    trackedRun.Needs = Core;
    Registry.reserve("r", Run, trackedRun, Now);
    Registry.start("r", Run, Now);
  }

  PollAnswer running() const {
    PollAnswer answer;
    answer.Running.push_back({Run, "saved"});
    return answer;
  }

  static PollAnswer ended(std::uint64_t number, protocol::RunEnd how) {
    PollAnswer answer;
    answer.Ended.push_back({number, Run, how, "saved"});
    return answer;
  }

  /// Ends that were observed since the last call of ends().
  std::vector<ObservedEnd> ends() {
    RunnerRegistryEffects effects = Registry.takeEffects();
    std::move(effects.Ends.begin(), effects.Ends.end(),
              std::back_inserter(Ends));
    return std::exchange(Ends, {});
  }

  std::vector<ObservedEnd> Ends;
  /// The latest poll.
  PollOrder Sent;
};

} // namespace

TEST_CASE("A runner gets no work before it has answered a poll", "[workflow]") {
  Fixture fixture;
  CHECK_FALSE(fixture.Registry.isUsable(fixture.runner(), fixture.Now));
  fixture.answerPoll();
  CHECK(fixture.Registry.isUsable(fixture.runner(), fixture.Now));
}

TEST_CASE("The first poll of a leader renews no lease", "[workflow]") {
  Fixture fixture;
  CHECK_FALSE(fixture.poll().LeaseUntilMs.has_value());
}

TEST_CASE("A start order carries a lease on the runner's clock", "[workflow]") {
  Fixture fixture;
  fixture.start();
  const auto starts = fixture.Registry.takeEffects().Starts;
  REQUIRE(starts.size() == 1);
  const std::int64_t lease = starts[0].LeaseUntilMs - fixture.RunnerClockMs;
  CHECK(lease <= fixture.Options.Lease.count());
  CHECK(lease > fixture.Options.Lease.count() - 100);
}

TEST_CASE("Resources are released once the runner lists the end",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  CHECK(fixture.runner().Free.MilliProcessors == 31'000);
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Done, fixture.Now);
  fixture.pass(Milliseconds(10));
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));

  CHECK(fixture.runner().Free.MilliProcessors == 32'000);
  const auto ends = fixture.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].Number == 1);
  CHECK(ends[0].End.how() == protocol::RUN_DONE);
}

TEST_CASE("An end that is listed again is reported once", "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  CHECK(fixture.ends().size() == 1);
  fixture.pass(fixture.Options.PollDelay);
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  CHECK(fixture.ends().empty());
}

TEST_CASE("A runner may drop an end only after it is stored", "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  fixture.pass(fixture.Options.PollDelay);
  const PollOrder sent = fixture.poll();
  CHECK(sent.EndsStored == 0);
  fixture.Registry.endStored({"r", 0}, 1);
  PollAnswer again = Fixture::ended(1, protocol::RUN_DONE);
  again.Answer = OrderAnswer::Done;
  again.ClockMs = fixture.RunnerClockMs;
  fixture.Registry.pollAnswered(sent, again, fixture.Now);
  fixture.pass(fixture.Options.PollDelay);
  CHECK(fixture.poll().EndsStored == 1);
}

TEST_CASE("No end is acknowledged after a poll without an answer, in which the "
          "runner may have begun another life",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  fixture.Registry.endStored({"r", 0}, 1);
  fixture.pass(fixture.Options.PollDelay);
  fixture.failPoll();
  CHECK(fixture.poll().EndsStored == 0);
  fixture.Registry.pollAnswered(fixture.Sent, PollAnswer(), fixture.Now);
  fixture.pass(fixture.Options.RetryDelay);
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  fixture.pass(fixture.Options.PollDelay);
  CHECK(fixture.poll().EndsStored == 1);
}

TEST_CASE("An end is acknowledged only soon after the runner's last answer",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  fixture.Registry.endStored({"r", 0}, 1);
  const auto [pause, acknowledged] =
      GENERATE(table<int, std::uint64_t>({{450, 1}, {550, 0}}));
  fixture.pass(Milliseconds(pause));
  CHECK(fixture.poll().EndsStored == acknowledged);
}

namespace {

protocol::RunnerInfo nextLife() {
  protocol::RunnerInfo info = runnerOf("r");
  info.set_born_unix_ms(5);
  return info;
}

} // namespace

TEST_CASE("A run that was not ordered to start is lost with the runner's life",
          "[workflow]") {
  Fixture fixture;
  fixture.answerPoll();
  TrackedRun reserved;
  reserved.Needs = Core;
  fixture.Registry.reserve("r", Run, reserved, fixture.Now);
  fixture.Registry.add(nextLife(), fixture.Now);
  CHECK(fixture.runner().Free.MilliProcessors == 32'000);
  const auto ends = fixture.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LOST);
}

TEST_CASE("A run that the runner's next life may have occupies resources there",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.Registry.add(nextLife(), fixture.Now);
  CHECK(fixture.runner().Free.MilliProcessors == 31'000);
  CHECK(fixture.ends().empty());
}

TEST_CASE("The storage of an end of a former life acknowledges nothing to the "
          "next",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.answerPoll(Fixture::ended(1, protocol::RUN_DONE));
  fixture.Registry.add(nextLife(), fixture.Now);
  fixture.Registry.endStored({"r", 0}, 1);
  CHECK(fixture.runner().EndsStored == 0);
}

TEST_CASE("Information of a runner's former life does not replace the next",
          "[workflow]") {
  Fixture fixture;
  fixture.Registry.add(nextLife(), fixture.Now);
  protocol::RunnerInfo former = runnerOf("r");
  former.set_address("elsewhere:80");
  fixture.Registry.add(former, fixture.Now);
  CHECK(fixture.runner().Info.address() == "r:80");
}

TEST_CASE("A stop that a former life has confirmed is repeated in the next",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.Registry.stop("r", Run, fixture.Now);
  fixture.Registry.stopAnswered(stopOf(Run), OrderAnswer::Done, fixture.Now);
  fixture.Registry.add(nextLife(), fixture.Now);
  CHECK_FALSE(fixture.runner().Runs.at(Run).ConfirmedAt);
  // The answer of the former life does not count.
  fixture.Registry.stopAnswered(stopOf(Run), OrderAnswer::Done, fixture.Now);
  CHECK_FALSE(fixture.runner().Runs.at(Run).ConfirmedAt);
}

TEST_CASE("An unanswered start is retried, then the run is stopped",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  for (std::uint32_t i = 1; i < fixture.Options.MaxStartAttempts; ++i) {
    REQUIRE(fixture.Registry.takeEffects().Starts.size() == 1);
    fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Silent,
                                   fixture.Now);
  }
  REQUIRE(fixture.Registry.takeEffects().Starts.size() == 1);
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Silent,
                                 fixture.Now);
  CHECK(fixture.Registry.takeEffects().Starts.empty());
  fixture.Registry.tick(fixture.Now);
  CHECK(fixture.Registry.takeEffects().Stops.size() == 1);
}

// Guards against a whole fleet that counts as unresponsive because the VMs that
// relay its orders are: callers were refused although there was room.
TEST_CASE("A start that its relay left unanswered is retried and keeps the "
          "runner usable",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  REQUIRE(fixture.Registry.takeEffects().Starts.size() == 1);
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::RelaySilent,
                                 fixture.Now);
  CHECK(fixture.Registry.takeEffects().Starts.size() == 1);
  CHECK(fixture.Registry.isUsable(fixture.runner(), fixture.Now));
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Silent,
                                 fixture.Now);
  CHECK_FALSE(fixture.Registry.isUsable(fixture.runner(), fixture.Now));
}

TEST_CASE("An unanswered start keeps its resources until a poll after the stop",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  for (std::uint32_t i = 0; i < fixture.Options.MaxStartAttempts; ++i) {
    fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Silent,
                                   fixture.Now);
  }
  fixture.answerPoll();
  CHECK(fixture.runner().Runs.size() == 1);

  fixture.Registry.stopAnswered(stopOf(Run), OrderAnswer::Done, fixture.Now);
  fixture.pass(Milliseconds(1));
  fixture.answerPoll();
  CHECK(fixture.runner().Runs.empty());
  const auto ends = fixture.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LOST);
}

TEST_CASE("A refused first start releases its resources at once",
          "[workflow]") {
  const auto answer = GENERATE(OrderAnswer::NoRoom, OrderAnswer::TicketInvalid,
                               OrderAnswer::Unwell, OrderAnswer::Late);
  Fixture fixture;
  fixture.start();
  fixture.Registry.startAnswered(startOf(Run), answer, fixture.Now);
  CHECK(fixture.runner().Runs.empty());
}

TEST_CASE("A refused start after an unanswered one keeps its resources",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Silent,
                                 fixture.Now);
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Unwell,
                                 fixture.Now);
  CHECK(fixture.runner().Runs.size() == 1);
}

TEST_CASE("The runs of an unreachable runner end only after its lease",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.Registry.startAnswered(startOf(Run), OrderAnswer::Done, fixture.Now);
  const SteadyTime started = fixture.Now;
  const auto slowLease = fixture.Options.Lease * 1000 / 980;
  while (fixture.Now < started + slowLease) {
    fixture.failPoll();
    CHECK(fixture.ends().empty());
  }
  fixture.pass(Milliseconds(1500));
  fixture.failPoll();
  const auto ends = fixture.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LAPSED);
}

TEST_CASE("The lease of an unreachable runner is not extended", "[workflow]") {
  Fixture fixture;
  fixture.start();
  fixture.failPoll();
  CHECK_FALSE(fixture.poll().LeaseUntilMs.has_value());
}

TEST_CASE("A new leader keeps inherited runs that still run", "[workflow]") {
  Fixture fixture;
  fixture.Registry.inherit("r", Run, Core);
  CHECK(fixture.runner().Free.MilliProcessors == 31'000);
  fixture.answerPoll(fixture.running());
  CHECK(fixture.runner().Runs.at(Run).Stage == RunStage::Running);
  CHECK(fixture.ends().empty());
}

TEST_CASE(
    "A new leader releases inherited runs that the first poll doesn't list",
    "[workflow]") {
  Fixture fixture;
  fixture.Registry.inherit("r", Run, Core);
  fixture.answerPoll();
  const auto ends = fixture.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LOST);
}

TEST_CASE("Inherited runs of an unreachable runner are kept for a whole lease",
          "[workflow]") {
  Fixture fixture;
  fixture.Registry.inherit("r", Run, Core);
  const SteadyTime begin = fixture.Now;
  while (fixture.Now < begin + fixture.Options.Lease) {
    fixture.failPoll();
    CHECK(fixture.ends().empty());
  }
  fixture.pass(Milliseconds(500));
  fixture.failPoll();
  CHECK(fixture.ends().size() == 1);
}

TEST_CASE("An untracked run is stopped and occupies resources until then",
          "[workflow]") {
  Fixture fixture;
  fixture.answerPoll(fixture.running());
  CHECK(fixture.runner().Free.MilliProcessors == 31'000);
  fixture.Registry.tick(fixture.Now);
  CHECK(fixture.Registry.takeEffects().Stops.size() == 1);
}

TEST_CASE("Another incarnation at the address ends the runner and its runs",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  const PollOrder sent = fixture.poll();
  PollAnswer answer;
  answer.Answer = OrderAnswer::OtherLife;
  fixture.Registry.pollAnswered(sent, answer, fixture.Now);
  CHECK(fixture.runner().Gone);
  CHECK(fixture.ends().size() == 1);
}

TEST_CASE("A draining runner keeps its runs and gets no new ones",
          "[workflow]") {
  Fixture fixture;
  fixture.start();
  protocol::RunnerInfo info = runnerOf("r");
  info.set_draining(true);
  fixture.Registry.add(info, fixture.Now);
  CHECK_FALSE(fixture.Registry.isUsable(fixture.runner(), fixture.Now));
  CHECK(fixture.runner().Runs.size() == 1);
}

TEST_CASE(
    "A runner that becomes unreachable once it is adopted keeps its runs until "
    "earlier leases have expired",
    "[workflow]") {
  Fixture fixture;
  fixture.Registry.inherit("r", Run, Core);
  fixture.answerPoll(fixture.running());
  const SteadyTime begin = fixture.Now;
  while (fixture.Now < begin + fixture.Options.Lease - Milliseconds(10)) {
    fixture.failPoll();
    CHECK(fixture.ends().empty());
  }
  fixture.pass(Milliseconds(500));
  fixture.failPoll();
  CHECK(fixture.ends().size() == 1);
}
