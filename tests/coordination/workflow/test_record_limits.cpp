#include "masticwinch/coordination/replication/replica_options.hpp"
#include "masticwinch/coordination/workflow/record_limits.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr int ManyRoutes = 10'000;
const std::size_t MaxEntryBytes = replication::ReplicaOptions().MaxEntryBytes;

/// A configuration whose routes have names of 40 bytes, with a document.
protocol::CellConfig configWithRoutes(std::uint64_t version, int count) {
  protocol::CellConfig config = configOf(version);
  const protocol::QueueConfig queue = config.queues(0);
  for (int i = 0; i < count; ++i) {
    protocol::QueueConfig &added = *config.add_queues();
    added = queue;
    added.set_name(fmt::format("{:0>40}", i));
    added.set_path_prefix(fmt::format("/{}/", i));
    config.mutable_document()->append(250, 'x');
  }
  return config;
}

void applyAll(WorkflowState &state,
              const std::vector<protocol::WorkflowChange> &changes,
              std::size_t from = 0) {
  for (std::size_t i = from; i < changes.size(); ++i) {
    state.apply(changes[i]);
  }
}

} // namespace

// Guards against a record above the limit of the log, behind which nothing is
// stored any more.
TEST_CASE("A configuration of many routes is stored in records below the limit "
          "of the log",
          "[workflow]") {
  LedCell cell;
  const protocol::CellConfig config = configWithRoutes(7, ManyRoutes);
  REQUIRE(config.ByteSizeLong() > MaxEntryBytes);
  REQUIRE_FALSE(configSizeError(config.ByteSizeLong()));
  bool stored = false;
  cell.Leader.configure(
      config, [&] { stored = true; }, cell.Now);

  const WorkflowEffects effects = cell.Leader.takeEffects(cell.Now);
  REQUIRE(effects.Batches.size() > 1);
  for (const ProposedBatch &it : effects.Batches) {
    CHECK(it.Record.ByteSizeLong() < MaxEntryBytes);
    CHECK_FALSE(stored);
    CHECK(cell.State.config().version() == 1);
    cell.State.apply(it.Record);
    cell.Leader.stored(it, cell.Now);
  }
  CHECK(stored);
  CHECK(cell.State.config().SerializeAsString() == config.SerializeAsString());
}

TEST_CASE("Parts of a configuration are put together by every replica",
          "[workflow]") {
  WorkflowState state = LedCell::configuredState();
  const auto changes = configurationChanges(configWithRoutes(7, 2000));
  REQUIRE(changes.size() > 2);
  state.apply(changes[0]);

  SECTION("a replica that was restored from a snapshot") {
    WorkflowState restored;
    restored.restore(state.snapshot());
    applyAll(restored, changes, 1);
    CHECK(restored.config().queues_size() == 2001);
    CHECK(restored.snapshot().partial_config().data().empty());
  }
  SECTION("parts that are stored twice") {
    state.apply(changes[0]);
    applyAll(state, changes, 1);
    applyAll(state, changes);
    CHECK(state.config().queues_size() == 2001);
  }
  SECTION("the leader changed before the last part") {
    applyAll(state, configurationChanges(configWithRoutes(8, 1500)));
    CHECK(state.config().version() == 8);
    applyAll(state, changes, 1);
    CHECK(state.config().version() == 8);
    CHECK(state.config().queues_size() == 1501);
  }
  SECTION("a small one came first") {
    applyAll(state, configurationChanges(configOf(8)));
    applyAll(state, changes, 1);
    CHECK(state.config().version() == 8);
    CHECK(state.config().queues_size() == 1);
  }
}

TEST_CASE("Changes that are decided together fill several records if need be",
          "[workflow]") {
  protocol::WorkflowRecord record;
  constexpr int Count = 1000;
  for (int i = 0; i < Count; ++i) {
    protocol::WorkflowSpec spec = specOf(fmt::format("{:016}", i), {stepOf(1)});
    spec.set_payload(std::string(4000, 'p'));
    *record.add_changes() = acceptOf(spec);
  }
  REQUIRE(record.ByteSizeLong() > MaxEntryBytes);

  int next = 0;
  for (const protocol::WorkflowRecord &it : packRecords(record)) {
    CHECK(it.ByteSizeLong() < MaxEntryBytes);
    for (const protocol::WorkflowChange &change : it.changes()) {
      CHECK(change.accept().spec().id() == fmt::format("{:016}", next++));
    }
  }
  CHECK(next == Count);
}

TEST_CASE("A submission that no record can hold is refused with both figures",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 1);
  cell.pass(LedCell::SchedulingTime);
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/000000000000000a");
  *call.mutable_submit() = specOf("000000000000000a", {stepOf(1)});
  call.mutable_submit()->set_payload(std::string(MaxEntryBytes, 'p'));
  protocol::WorkflowAnswer answer;
  cell.Leader.call(
      call, [&](const protocol::WorkflowAnswer &it) { answer = it; }, cell.Now);
  CHECK(answer.verdict() == protocol::VERDICT_INVALID);
  CHECK(answer.reason().find(std::to_string(MaxChangeBytes)) !=
        std::string::npos);
  CHECK(MaxChangeBytes < MaxEntryBytes);

  cell.submit("000000000000000b");
  CHECK(cell.State.find("000000000000000b"));
  CHECK_FALSE(cell.State.find("000000000000000a"));
}
