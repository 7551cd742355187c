#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"
#include <cstdio>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint64_t StartUnixMs = 100'000;

/// A cell with one runner whose leader finds `blocked` workflows waiting that
/// fit on no runner. A leader stores its batches at once.
class Cell {
public:
  Cell(int blocked, Milliseconds age) {
    protocol::WorkflowChange configured;
    *configured.mutable_configure() = configOf(1);
    State.apply(configured);
    protocol::WorkflowChange known;
    *known.mutable_runner()->mutable_runner() = runnerOf("i-0");
    State.apply(known);
    for (int i = 0; i < blocked; ++i) {
      protocol::StepSpec step = stepOf(1);
      step.set_required_label("no runner has this label");
      accept(step, age);
    }
  }

  /// Adds a workflow that was accepted that long before the start.
  std::string accept(const protocol::StepSpec &step, Milliseconds age) {
    char id[17];
    std::snprintf(id, sizeof id, "%016d", ++LastId);
    protocol::WorkflowChange accepted = acceptOf(specOf(id, {step}));
    accepted.mutable_accept()->set_at_unix_ms(StartUnixMs -
                                              std::uint64_t(age.count()));
    State.apply(accepted);
    return id;
  }

  void lead() {
    Leader =
        std::make_unique<WorkflowLeader>(WorkflowLeaderOptions(), State, at());
    advance(Milliseconds(100));
  }

  /// Submits a workflow that fits and stores it.
  std::string submit() {
    char id[17];
    std::snprintf(id, sizeof id, "%016d", ++LastId);
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path(std::string("/sheets/") + id);
    *call.mutable_submit() = specOf(id, {stepOf(1)});
    Leader->call(
        call, [](const protocol::WorkflowAnswer &) {}, at());
    settle();
    return id;
  }

  /// Advances the time in ticks of 10 ms.
  void advance(Milliseconds time) {
    for (const Milliseconds end = Since + time; Since < end;) {
      Since += Milliseconds(10);
      Leader->tick(at());
      settle();
    }
  }

  bool isAssigned(const std::string &id) const {
    return !State.findTask({{id, 0, 0}, 0})->Runner.empty();
  }

  Moment at() const {
    return {SteadyTime{std::chrono::seconds(100)} + Since,
            StartUnixMs + std::uint64_t(Since.count())};
  }

  WorkflowState State;
  std::unique_ptr<WorkflowLeader> Leader;

private:
  void settle() {
    const WorkflowEffects effects = Leader->takeEffects(at());
    for (const ProposedBatch &it : effects.Batches) {
      State.apply(it.Record);
      Leader->stored(it, at());
    }
    for (const PollOrder &it : effects.Polls) {
      PollAnswer answer;
      answer.Answer = OrderAnswer::Done;
      Leader->pollAnswered(it, answer, at());
    }
  }

  Milliseconds Since{0};
  int LastId = 0;
};

} // namespace

// After an overload, thousands of accepted steps wait. A pass tries only some
// of them; if it were always the same ones and these fit nowhere, the others
// would wait although there is room.
TEST_CASE("Steps that fit nowhere don't keep other steps from being tried",
          "[workflow]") {
  // The objective is 3 s: steps are on time, late, or too late for any value.
  const auto age =
      GENERATE(Milliseconds(1000), Milliseconds(6000), Milliseconds(20'000));
  CAPTURE(age.count());
  Cell cell(500, age);
  const std::string last = cell.accept(stepOf(1), age - Milliseconds(500));
  cell.lead();
  cell.advance(Milliseconds(700));
  CHECK(cell.isAssigned(last));
}

TEST_CASE("New work is placed at once however many late steps wait",
          "[workflow]") {
  Cell cell(3000, Milliseconds(20'000));
  cell.lead();
  const std::string id = cell.submit();
  cell.advance(Milliseconds(30));
  CHECK(cell.isAssigned(id));
}

// After a burst of load, passes over the backlog took all of the leader's time.
// Answers of runners, which would have reduced the backlog, were handled too
// late, and the cell stayed down although the load was back to normal.
TEST_CASE("Passes that take long leave the leader time for other work",
          "[workflow]") {
  Cell cell(10, Milliseconds(0));
  cell.lead();
  const std::string first = cell.submit();
  while (!cell.isAssigned(first)) {
    cell.advance(Milliseconds(10));
  }
  cell.Leader->effectsTook(Milliseconds(100), cell.at().Now);
  const std::string id = cell.submit();
  cell.advance(Milliseconds(290));
  CHECK_FALSE(cell.isAssigned(id));
  cell.advance(Milliseconds(20));
  CHECK(cell.isAssigned(id));
}

TEST_CASE("Effects without a pass don't delay the next pass", "[workflow]") {
  Cell cell(10, Milliseconds(0));
  cell.lead();
  cell.advance(Milliseconds(100));
  const std::string id = cell.submit();
  cell.Leader->effectsTook(Milliseconds(100), cell.at().Now);
  cell.advance(Milliseconds(30));
  CHECK(cell.isAssigned(id));
}
