#include <catch2/catch.hpp>

#include "tests/coordination/workflow/answered_cell.hpp"
#include <map>
#include <string>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

protocol::StepSpec stepWith(std::uint32_t tasks, bool gang,
                            std::uint32_t cores) {
  protocol::StepSpec step = stepOf(tasks, gang);
  step.mutable_needs()->set_milli_processors(cores * 1000);
  return step;
}

/// A field of the last report that a step waits; empty if there is none.
std::string lastWait(const LedCell &cell, const std::string &step,
                     const std::string &field) {
  std::string value;
  for (const WorkflowEvent &it : cell.Events) {
    const std::map<std::string, std::string> fields(it.Fields.begin(),
                                                    it.Fields.end());
    if (it.Kind == WorkflowEventKind::StepWaits && fields.at("step") == step) {
      value = fields.at(field);
    }
  }
  return value;
}

/// Five runners. Room on the first one is held by a gang that waits for the
/// second one.
struct GatheredCell : AnsweredCell {
  explicit GatheredCell(const WorkflowLeaderOptions &options = {})
      : AnsweredCell(5, 2, options) {
    submit("000000000000000a", {stepWith(5, false, 32)});
    advance(Milliseconds(100));
    protocol::StepSpec others = stepWith(2, true, 20);
    others.set_required_label("left");
    submit("000000000000000b", {others});
    endRunsOn("i-0");
    advance(Milliseconds(100));
  }
};

} // namespace

TEST_CASE("The report of a waiting gang says why it holds no room",
          "[workflow]") {
  GatheredCell cell;
  cell.submit("000000000000000c", {stepWith(3, true, 20)});
  cell.advance(Milliseconds(5000));
  CHECK(lastWait(cell, "000000000000000b.0.0", "room") == "gathers");
  CHECK(lastWait(cell, "000000000000000c.0.0", "room") == "share_used");
}

// Others always gather, so that a gang for which too little is left of the
// bounds on gathering waits until the load falls.
TEST_CASE("A late gang gathers room although others gather all the time",
          "[workflow][.known-red]") {
  GatheredCell cell;
  const std::string late = "000000000000000c";
  cell.submit(late, {stepWith(3, true, 20)});
  // It has an objective of 3 s and needs 1 s.
  cell.advance(Milliseconds(2500));
  for (const char *runner : {"i-2", "i-3", "i-4"}) {
    cell.endRunsOn(runner);
    cell.advance(Milliseconds(100));
    cell.submit(std::string("000000000000010") + runner[2],
                {stepWith(1, false, 30)});
    cell.advance(Milliseconds(100));
  }
  CHECK(cell.startsOf(late) == 3);
}

TEST_CASE("A wide gang has a turn to gather while it can be on time, although "
          "others gather all the time",
          "[workflow]") {
  WorkflowLeaderOptions options;
  options.Turns.RunnersPerTurn = 2;
  options.Turns.GangsPerTurn = 1;
  GatheredCell cell(options);
  const std::string wide = "000000000000000c";
  cell.submit(wide, {stepWith(3, true, 20)});
  cell.advance(Milliseconds(100));
  for (const char *runner : {"i-2", "i-3", "i-4"}) {
    cell.endRunsOn(runner);
    cell.advance(Milliseconds(100));
    cell.submit(std::string("000000000000010") + runner[2],
                {stepWith(1, false, 30)});
    cell.advance(Milliseconds(100));
  }
  CHECK(cell.startsOf(wide) == 3);
}

TEST_CASE("Room that a gang holds is lent to tasks that end before it is ready",
          "[workflow]") {
  const std::uint32_t estimate = GENERATE(100, 2000);
  GatheredCell cell;
  protocol::StepSpec borrower = stepWith(1, false, 30);
  borrower.set_estimate_ms(estimate);
  cell.submit("000000000000000d", {borrower});
  cell.advance(Milliseconds(200));
  CHECK(cell.startsOf("000000000000000d") == (estimate == 100 ? 1 : 0));
}
