#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

protocol::WorkflowAnswer submit(LedCell &cell, const std::string &id) {
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/" + id);
  *call.mutable_submit() = specOf(id, {stepOf(1)});
  protocol::WorkflowAnswer received;
  cell.Leader.call(
      call, [&](const protocol::WorkflowAnswer &it) { received = it; },
      cell.Now);
  cell.pass(Milliseconds(0));
  return received;
}

} // namespace

// Guards against submissions that wait without an answer while the leader's
// disk is full.
TEST_CASE("A submission that can't be stored is refused by name",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 5'000'000);
  CHECK(submit(cell, "000000000000000a").verdict() == protocol::VERDICT_OK);
  cell.Leader.setLogRefusal("no space left");
  const protocol::WorkflowAnswer refused = submit(cell, "000000000000000b");
  CHECK(refused.verdict() == protocol::VERDICT_REFUSED);
  CHECK(refused.reason() == "nothing can be stored");
  CHECK(refused.retry_after_ms() > 0);
  CHECK(submit(cell, "000000000000000a").verdict() == protocol::VERDICT_OK);
  cell.Leader.setLogRefusal({});
  CHECK(submit(cell, "000000000000000b").verdict() == protocol::VERDICT_OK);
}
