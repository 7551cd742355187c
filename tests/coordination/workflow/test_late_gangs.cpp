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
  GatheredCell() : AnsweredCell(5, 2) {
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
  // One late gang gathers beyond the share, the other can't.
  cell.submit("000000000000000c", {stepWith(3, true, 20)});
  cell.submit("000000000000000d", {stepWith(3, true, 20)});
  cell.advance(Milliseconds(2500));
  cell.endRunsOn("i-2");
  cell.advance(Milliseconds(2500));
  CHECK(lastWait(cell, "000000000000000b.0.0", "room") == "gathers");
  CHECK(lastWait(cell, "000000000000000c.0.0", "room") == "gathers");
  CHECK(lastWait(cell, "000000000000000d.0.0", "room") == "share_used");
}

// Others always gathered, so that a gang for which too little was left of the
// bounds on gathering waited until the load fell.
TEST_CASE("A late gang gathers room although others gather all the time",
          "[workflow]") {
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

// Each is expected to fit soon in the room that the other one holds.
TEST_CASE("Of two gangs that hold room that the other needs one gives it up",
          "[workflow]") {
  AnsweredCell cell(4, 3);
  const std::string first = "000000000000000b";
  const std::string late = "000000000000000c";
  cell.submit("000000000000000a", {stepWith(4, false, 32)});
  cell.advance(Milliseconds(100));
  protocol::StepSpec patient = stepWith(3, true, 20);
  patient.set_required_label("left");
  patient.set_estimate_ms(2000);
  cell.submit(first, {patient});
  cell.endRunsOn("i-0");
  cell.advance(Milliseconds(100));
  cell.submit(late, {stepWith(4, true, 20)});
  // Both are late, the second one more.
  cell.advance(Milliseconds(3300));
  for (const char *runner : {"i-3", "i-1", "i-2"}) {
    cell.endRunsOn(runner);
    cell.advance(Milliseconds(100));
  }
  REQUIRE(cell.startsOf(first) == 0);
  REQUIRE(cell.startsOf(late) == 0);
  cell.advance(WorkflowLeaderOptions().MaxLateGather);
  CHECK(cell.startsOf(first) == 3);
}
