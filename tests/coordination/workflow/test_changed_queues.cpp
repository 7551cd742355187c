#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const Moment Start{SteadyTime{std::chrono::seconds(100)}, 100'000};
const std::string Id = "000000000000000a";

/// A leader whose proposals are stored at once, with the runner "i-0" of the
/// pool "prices" and "i-1" of "elsewhere".
class Session {
public:
  Session() {
    configure(configOf(1));
    addRunner("i-0", "prices");
    addRunner("i-1", "elsewhere");
    Leader =
        std::make_unique<WorkflowLeader>(WorkflowLeaderOptions(), State, Now);
    pass();
  }

  void configure(const protocol::CellConfig &config) {
    protocol::WorkflowChange change;
    *change.mutable_configure() = config;
    State.apply(change);
  }

  /// Calls the leader at the host of the first configuration; returns the
  /// verdict. `decide` runs between the call and the storing of its effects.
  template <class Function>
  protocol::WorkflowVerdict submitAnd(const std::string &path,
                                      const Function &decide) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path(path);
    *call.mutable_submit() = specOf(Id, {stepOf(1)});
    auto verdict = protocol::WORKFLOW_VERDICT_UNSPECIFIED;
    Leader->call(
        call,
        [&](const protocol::WorkflowAnswer &it) {
          verdict = it.verdict();
          LastAnswer = it;
        },
        Now);
    const WorkflowEffects effects = Leader->takeEffects(Now);
    decide();
    store(effects);
    return verdict;
  }

  protocol::WorkflowVerdict submit(const std::string &path) {
    return submitAnd(path, [] {});
  }

  std::uint64_t waiting(const std::string &path) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path(path);
    call.mutable_state();
    std::uint64_t count = 0;
    Leader->call(
        call, [&](const protocol::WorkflowAnswer &it) { count = it.waiting(); },
        Now);
    return count;
  }

  /// Lets the leader schedule; returns the runner of the task, empty if none.
  std::string runner() {
    for (int i = 0; i < 20 && assigned().empty(); ++i) {
      pass();
    }
    return assigned();
  }

  /// Takes over with a new leader from a snapshot.
  void restart() {
    protocol::WorkflowSnapshot snapshot = State.snapshot();
    Leader.reset();
    State = WorkflowState();
    State.restore(snapshot);
    Leader =
        std::make_unique<WorkflowLeader>(WorkflowLeaderOptions(), State, Now);
    pass();
  }

  WorkflowState State;
  protocol::WorkflowAnswer LastAnswer;

private:
  void addRunner(const std::string &id, const std::string &pool) {
    protocol::WorkflowChange known;
    protocol::RunnerInfo &info = *known.mutable_runner()->mutable_runner();
    info = runnerOf(id);
    info.set_pool(pool);
    State.apply(known);
  }

  std::string assigned() const {
    const Task *task = State.findTask({{Id, 0, 0}, 0});
    return task ? task->Runner : "";
  }

  void pass() {
    Now = {Now.Now + Milliseconds(20), Now.UnixMs + 20};
    Leader->tick(Now);
    store(Leader->takeEffects(Now));
  }

  void store(const WorkflowEffects &effects) {
    for (const ProposedBatch &it : effects.Batches) {
      State.apply(it.Record);
      Leader->stored(it, Now);
    }
    for (const PollOrder &it : effects.Polls) {
      PollAnswer answer;
      answer.Answer = OrderAnswer::Done;
      Leader->pollAnswered(it, answer, Now);
    }
  }

  Moment Now = Start;
  std::unique_ptr<WorkflowLeader> Leader;
};

protocol::CellConfig renamed(std::uint64_t version) {
  protocol::CellConfig config = configOf(version);
  config.mutable_queues(0)->set_name("other");
  return config;
}

protocol::CellConfig dropped(std::uint64_t version) {
  protocol::CellConfig config = configOf(version);
  config.clear_queues();
  return config;
}

protocol::CellConfig moved(std::uint64_t version) {
  protocol::CellConfig config = configOf(version);
  config.mutable_queues(0)->set_path_prefix("/moved/");
  return config;
}

} // namespace

// Guards against accepted work that is never started since its queue is gone.
TEST_CASE("Accepted work goes on after its queue was renamed, moved or dropped",
          "[workflow]") {
  const protocol::CellConfig changed =
      GENERATE(renamed(2), moved(2), dropped(2));
  Session session;
  REQUIRE(session.submit("/sheets/" + Id) == protocol::VERDICT_OK);
  session.configure(changed);
  SECTION("under the same leader") { CHECK(session.runner() == "i-0"); }
  SECTION("under the next leader, from a snapshot") {
    session.restart();
    CHECK(session.runner() == "i-0");
  }
  SECTION("after a further configuration") {
    session.configure(dropped(3));
    CHECK(session.runner() == "i-0");
  }
}

TEST_CASE("Work is done that was accepted while its queue was being dropped",
          "[workflow]") {
  Session session;
  REQUIRE(session.submitAnd("/sheets/" + Id, [&] {
    session.configure(dropped(2));
  }) == protocol::VERDICT_OK);
  CHECK(session.runner() == "i-0");
}

// Guards against an entry VM that applies the timeout of an older version.
TEST_CASE("An answer names the version by which its call was routed",
          "[workflow]") {
  Session session;
  session.submitAnd("/sheets/" + Id, [&] { session.configure(configOf(2)); });
  CHECK(session.State.config().version() == 2);
  CHECK(session.LastAnswer.config_version() == 1);
  CHECK(session.LastAnswer.route().timeout_ms() == 3000);
}

TEST_CASE("A dropped queue takes no work", "[workflow]") {
  Session session;
  session.configure(dropped(2));
  CHECK(session.submit("/sheets/" + Id) == protocol::VERDICT_NO_QUEUE);
}

TEST_CASE("Queues of one name keep their work apart", "[workflow]") {
  protocol::CellConfig config = configOf(2);
  protocol::QueueConfig *other = config.add_queues();
  *other = config.queues(0);
  other->set_path_prefix("/other/");
  other->set_pool("elsewhere");
  config.add_pools()->set_name("elsewhere");
  REQUIRE_FALSE(validationError(config));
  Session session;
  session.configure(config);
  REQUIRE(session.submit("/other/" + Id) == protocol::VERDICT_OK);
  CHECK(session.waiting("/other/") == 1);
  CHECK(session.waiting("/sheets/") == 0);
  CHECK(session.runner() == "i-1");
}

TEST_CASE("A renamed queue counts the work that it took before", "[workflow]") {
  Session session;
  REQUIRE(session.submit("/sheets/" + Id) == protocol::VERDICT_OK);
  session.configure(renamed(2));
  CHECK(session.waiting("/sheets/") == 1);
}

TEST_CASE("Dropped queues without open work are forgotten with the next "
          "configuration",
          "[workflow]") {
  Session session;
  REQUIRE(session.submit("/sheets/" + Id) == protocol::VERDICT_OK);
  session.configure(dropped(2));
  CHECK(session.State.findQueue("host/sheets/"));
  session.State.apply(cancelOf(Id));
  session.configure(dropped(3));
  CHECK_FALSE(session.State.findQueue("host/sheets/"));
}
