#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const RunKey Run{{{"w", 0, 0}, 0}, 1};
const ResourceAmounts Core{1000, 1024, 0};

/// A book with the runner "r", and the time.
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

  /// Ticks and returns the look that is sent.
  PollOrder look() {
    Registry.tick(Now);
    RunnerRegistryEffects effects = Registry.takeEffects();
    std::move(effects.Ends.begin(), effects.Ends.end(),
              std::back_inserter(Ends));
    REQUIRE(effects.Polls.size() == 1);
    return effects.Polls.front();
  }

  void answerLook(PollAnswer answer = {}) {
    const PollOrder order = look();
    answer.Answer = OrderAnswer::Done;
    answer.ClockMs = RunnerClockMs;
    pass(Milliseconds(1));
    Registry.pollAnswered("r", order.Sequence, answer, Now);
  }

  void failLook() {
    const PollOrder order = look();
    pass(Milliseconds(1));
    Registry.pollAnswered("r", order.Sequence, PollAnswer(), Now);
    pass(Options.RetryPause);
  }

  /// Adopts the runner and starts the run.
  void start() {
    answerLook();
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

  /// Ends that were observed since the last call.
  std::vector<ObservedEnd> ends() {
    RunnerRegistryEffects effects = Registry.takeEffects();
    std::move(effects.Ends.begin(), effects.Ends.end(),
              std::back_inserter(Ends));
    return std::exchange(Ends, {});
  }

  std::vector<ObservedEnd> Ends;
};

} // namespace

TEST_CASE("A runner gets no work before it answered a look", "[workflow]") {
  Fixture cell;
  CHECK_FALSE(cell.Registry.isUsable(cell.runner(), cell.Now));
  cell.answerLook();
  CHECK(cell.Registry.isUsable(cell.runner(), cell.Now));
}

TEST_CASE("The first look of a leader asks for no lease", "[workflow]") {
  Fixture cell;
  CHECK_FALSE(cell.look().LeaseUntilMs.has_value());
}

TEST_CASE("A start carries a lease on the runner's clock", "[workflow]") {
  Fixture cell;
  cell.start();
  const auto starts = cell.Registry.takeEffects().Starts;
  REQUIRE(starts.size() == 1);
  const std::int64_t lease = starts[0].LeaseUntilMs - cell.RunnerClockMs;
  CHECK(lease <= cell.Options.Lease.count());
  CHECK(lease > cell.Options.Lease.count() - 100);
}

TEST_CASE("Room is free once the runner lists the end", "[workflow]") {
  Fixture cell;
  cell.start();
  CHECK(cell.runner().Free.MilliProcessors == 31'000);
  cell.Registry.startAnswered("r", Run, OrderAnswer::Done, cell.Now);
  cell.pass(Milliseconds(10));
  cell.answerLook(Fixture::ended(1, protocol::RUN_DONE));

  CHECK(cell.runner().Free.MilliProcessors == 32'000);
  const auto ends = cell.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].Number == 1);
  CHECK(ends[0].End.how() == protocol::RUN_DONE);
}

TEST_CASE("An end that is listed again is reported once", "[workflow]") {
  Fixture cell;
  cell.start();
  cell.answerLook(Fixture::ended(1, protocol::RUN_DONE));
  CHECK(cell.ends().size() == 1);
  cell.pass(cell.Options.LookPause);
  cell.answerLook(Fixture::ended(1, protocol::RUN_DONE));
  CHECK(cell.ends().empty());
}

TEST_CASE("A runner may forget an end only after it is stored", "[workflow]") {
  Fixture cell;
  cell.start();
  cell.answerLook(Fixture::ended(1, protocol::RUN_DONE));
  cell.pass(cell.Options.LookPause);
  CHECK(cell.look().EndsStored == 0);
  cell.Registry.pollAnswered("r", cell.runner().LookSequence, PollAnswer(),
                             cell.Now);
  cell.Registry.endStored("r", 1);
  cell.pass(cell.Options.RetryPause);
  CHECK(cell.look().EndsStored == 1);
}

TEST_CASE("A start without an answer is sent again, then stopped",
          "[workflow]") {
  Fixture cell;
  cell.start();
  for (std::uint32_t i = 1; i < cell.Options.StartTries; ++i) {
    REQUIRE(cell.Registry.takeEffects().Starts.size() == 1);
    cell.Registry.startAnswered("r", Run, OrderAnswer::Silent, cell.Now);
  }
  REQUIRE(cell.Registry.takeEffects().Starts.size() == 1);
  cell.Registry.startAnswered("r", Run, OrderAnswer::Silent, cell.Now);
  CHECK(cell.Registry.takeEffects().Starts.empty());
  cell.Registry.tick(cell.Now);
  CHECK(cell.Registry.takeEffects().Stops.size() == 1);
}

TEST_CASE("A doubtful start keeps its room until a look after the stop",
          "[workflow]") {
  Fixture cell;
  cell.start();
  for (std::uint32_t i = 0; i < cell.Options.StartTries; ++i) {
    cell.Registry.startAnswered("r", Run, OrderAnswer::Silent, cell.Now);
  }
  cell.answerLook();
  CHECK(cell.runner().Runs.size() == 1);

  cell.Registry.stopAnswered("r", Run, OrderAnswer::Done, cell.Now);
  cell.pass(Milliseconds(1));
  cell.answerLook();
  CHECK(cell.runner().Runs.empty());
  const auto ends = cell.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LOST);
}

TEST_CASE("A refused first start frees its room at once", "[workflow]") {
  const auto answer = GENERATE(OrderAnswer::NoRoom, OrderAnswer::TicketInvalid,
                               OrderAnswer::Unwell, OrderAnswer::Late);
  Fixture cell;
  cell.start();
  cell.Registry.startAnswered("r", Run, answer, cell.Now);
  CHECK(cell.runner().Runs.empty());
}

TEST_CASE("A refused start after an unanswered one keeps its room",
          "[workflow]") {
  Fixture cell;
  cell.start();
  cell.Registry.startAnswered("r", Run, OrderAnswer::Silent, cell.Now);
  cell.Registry.startAnswered("r", Run, OrderAnswer::Unwell, cell.Now);
  CHECK(cell.runner().Runs.size() == 1);
}

TEST_CASE("The runs of a silent runner end only after its lease",
          "[workflow]") {
  Fixture cell;
  cell.start();
  cell.Registry.startAnswered("r", Run, OrderAnswer::Done, cell.Now);
  const SteadyTime started = cell.Now;
  const auto slowLease = cell.Options.Lease * 1000 / 980;
  while (cell.Now < started + slowLease) {
    cell.failLook();
    CHECK(cell.ends().empty());
  }
  cell.pass(Milliseconds(1500));
  cell.failLook();
  const auto ends = cell.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LAPSED);
}

TEST_CASE("A silent runner gets no longer lease", "[workflow]") {
  Fixture cell;
  cell.start();
  cell.failLook();
  CHECK_FALSE(cell.look().LeaseUntilMs.has_value());
}

TEST_CASE("A new leader keeps inherited runs that still run", "[workflow]") {
  Fixture cell;
  cell.Registry.inherit("r", Run, Core);
  CHECK(cell.runner().Free.MilliProcessors == 31'000);
  cell.answerLook(cell.running());
  CHECK(cell.runner().Runs.at(Run).Stage == RunStage::Running);
  CHECK(cell.ends().empty());
}

TEST_CASE("A new leader frees inherited runs that the first look lacks",
          "[workflow]") {
  Fixture cell;
  cell.Registry.inherit("r", Run, Core);
  cell.answerLook();
  const auto ends = cell.ends();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].End.how() == protocol::RUN_LOST);
}

TEST_CASE("Inherited runs of a silent runner wait out the longest lease",
          "[workflow]") {
  Fixture cell;
  cell.Registry.inherit("r", Run, Core);
  const SteadyTime begin = cell.Now;
  while (cell.Now < begin + cell.Options.Lease) {
    cell.failLook();
    CHECK(cell.ends().empty());
  }
  cell.pass(Milliseconds(500));
  cell.failLook();
  CHECK(cell.ends().size() == 1);
}

TEST_CASE("What runs unasked is stopped and takes room meanwhile",
          "[workflow]") {
  Fixture cell;
  cell.answerLook(cell.running());
  CHECK(cell.runner().Free.MilliProcessors == 31'000);
  cell.Registry.tick(cell.Now);
  CHECK(cell.Registry.takeEffects().Stops.size() == 1);
}

TEST_CASE("Another life at the address ends the runner and its runs",
          "[workflow]") {
  Fixture cell;
  cell.start();
  const PollOrder order = cell.look();
  PollAnswer answer;
  answer.Answer = OrderAnswer::OtherLife;
  cell.Registry.pollAnswered("r", order.Sequence, answer, cell.Now);
  CHECK(cell.runner().Gone);
  CHECK(cell.ends().size() == 1);
}

TEST_CASE("A draining runner keeps its runs and gets no more", "[workflow]") {
  Fixture cell;
  cell.start();
  protocol::RunnerInfo info = runnerOf("r");
  info.set_draining(true);
  cell.Registry.add(info, cell.Now);
  CHECK_FALSE(cell.Registry.isUsable(cell.runner(), cell.Now));
  CHECK(cell.runner().Runs.size() == 1);
}

TEST_CASE("A runner that falls silent once it is adopted keeps its runs until "
          "earlier leases are over",
          "[workflow]") {
  Fixture cell;
  cell.Registry.inherit("r", Run, Core);
  cell.answerLook(cell.running());
  const SteadyTime begin = cell.Now;
  while (cell.Now < begin + cell.Options.Lease - Milliseconds(10)) {
    cell.failLook();
    CHECK(cell.ends().empty());
  }
  cell.pass(Milliseconds(500));
  cell.failLook();
  CHECK(cell.ends().size() == 1);
}
