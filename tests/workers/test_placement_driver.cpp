#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/workers/placement_driver.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace masticwinch;
using namespace masticwinch::workers;

namespace {

/// A log whose records are committed by the test.
struct FakeLog {
  control::ProposalResult propose(const std::string &record) {
    if (!Leads) {
      return control::ProposalRefusal::NotNow;
    }
    Records.push_back({{++Index, 1}, record});
    return Records.back().first;
  }
  bool isLeader() const { return Leads; }
  std::string leaderAddress() const { return {}; }

  bool Leads = true;
  std::uint64_t Index = 40;
  std::deque<std::pair<control::LogPosition, std::string>> Records;
};

/// Keeps calls and their callbacks for the test.
struct FakeClient {
  void call(const placement::WorkerCall &call, const TaskContentLookup &,
            WorkerCallDone done) {
    Calls.emplace_back(call, std::move(done));
  }
  std::deque<std::pair<placement::WorkerCall, WorkerCallDone>> Calls;
};

/// A driver with fakes around it, and one VM that executes every call.
class Cell {
public:
  Cell() : Driver(Log, Client, State, Clock, Events, {}) {
    apply([](protocol::Command &it) {
      it.mutable_put_profile()->set_name("sheet");
      it.mutable_put_profile()->set_any_version(true);
      protocol::TaskPolicy &tasks =
          *it.mutable_put_profile()->mutable_spec()->mutable_tasks();
      tasks.set_kind(protocol::BATCH);
      tasks.set_repeatable(true);
      tasks.mutable_resources()->set_milli_processors(8'000);
      tasks.mutable_resources()->set_memory_mib(512);
    });
  }

  template <class Fill> protocol::CommandResult apply(Fill fill) {
    protocol::Command command;
    fill(command);
    return commit({++Log.Index, 1}, command);
  }

  void submit() {
    apply([](protocol::Command &it) {
      it.mutable_submit_job()->mutable_spec()->set_profile("sheet");
      it.mutable_submit_job()->mutable_spec()->set_tasks(1);
    });
  }

  void announce(std::uint64_t news = 0) {
    protocol::WorkerAnnouncement vm;
    vm.set_news(news);
    vm.set_name("vm-1");
    vm.set_incarnation(5);
    vm.set_address("10.0.0.1:80");
    vm.mutable_capacity()->set_milli_processors(32'000);
    vm.mutable_capacity()->set_memory_mib(65'536);
    Driver.announced(vm);
  }

  void commitAll() {
    while (!Log.Records.empty()) {
      const auto [position, record] = Log.Records.front();
      Log.Records.pop_front();
      protocol::Command command;
      command.ParseFromString(record);
      commit(position, command);
    }
  }

  /// Lets the VM execute all calls; started tasks are reported in `state`.
  void answerCalls(placement::ReportedState state) {
    while (!Client.Calls.empty()) {
      const auto [call, done] = std::move(Client.Calls.front());
      Client.Calls.pop_front();
      for (const placement::StartOrder &it : call.Starts) {
        Tasks.push_back({it.Id, state, 0, "", it.Amount, {}});
      }
      for (const placement::AttemptId &it : call.Forgets) {
        std::erase_if(Tasks, [&](const auto &task) { return task.Id == it; });
      }
      done({placement::WorkerAnswer{{5, 1}, Tasks}, false});
    }
  }

  void run(placement::ReportedState state) {
    for (int it = 0; it < 5; ++it) {
      Clock.advance(Milliseconds(50));
      Driver.tick();
      answerCalls(state);
    }
  }

  ManualClock Clock;
  EventLog Events{{"control", 1, "/dev/null"}, Clock};
  FakeLog Log;
  FakeClient Client;
  cell::CellState State;
  PlacementDriver<FakeLog, FakeClient> Driver;
  std::vector<placement::TaskReport> Tasks;

private:
  protocol::CommandResult commit(control::LogPosition position,
                                 const protocol::Command &command) {
    const protocol::CommandResult result = State.apply(command);
    Driver.applied(position, command, result);
    return result;
  }
};

} // namespace

TEST_CASE("Nothing is placed before the leadership record is committed",
          "[workers]") {
  Cell cell;
  cell.announce();
  cell.Driver.becomeLeader();
  cell.submit();
  cell.run(placement::ReportedState::Running);
  CHECK(cell.Client.Calls.empty());
  CHECK(cell.Driver.placer() == nullptr);
  cell.commitAll();
  REQUIRE(cell.Driver.placer() != nullptr);
  CHECK(cell.Driver.placer()->explain("job-1")->Reason ==
        placement::WaitReason::LeaderChange);
  cell.Driver.tick();
  REQUIRE(cell.Client.Calls.size() == 1);
  CHECK(cell.Client.Calls.front().first.Grant.Epoch == 42);
}

TEST_CASE("A job runs, its end is recorded and its worker forgets it",
          "[workers]") {
  Cell cell;
  cell.Driver.becomeLeader();
  cell.commitAll();
  cell.announce();
  cell.run(placement::ReportedState::Finished);
  cell.submit();
  cell.run(placement::ReportedState::Finished);
  REQUIRE(cell.Tasks.size() == 1);
  CHECK(cell.State.jobs().at("job-1").ended_order() == 0);
  cell.commitAll();
  CHECK(cell.State.jobs().at("job-1").ended_order() == 1);
  CHECK(cell.State.jobs().at("job-1").progress().finished_size() == 1);
  cell.Clock.advance(Milliseconds(3'000));
  cell.run(placement::ReportedState::Finished);
  CHECK(cell.Tasks.empty());
  protocol::QueryRequest request;
  request.mutable_jobs();
  protocol::QueryReply reply;
  cell.Driver.answer(request, reply);
  CHECK(reply.jobs().jobs(0).state() == "ended");
}

TEST_CASE(
    "A worker that announces news is called at once, others at their renewal",
    "[workers]") {
  Cell cell;
  cell.Driver.becomeLeader();
  cell.commitAll();
  cell.announce();
  cell.run(placement::ReportedState::Running);
  cell.announce();
  cell.Driver.tick();
  CHECK(cell.Client.Calls.empty());

  cell.announce(1);
  cell.Driver.tick();

  CHECK(cell.Client.Calls.size() == 1);
}

TEST_CASE("A process that no longer leads sends nothing", "[workers]") {
  Cell cell;
  cell.Driver.becomeLeader();
  cell.commitAll();
  cell.announce();
  cell.Driver.tick();
  REQUIRE(cell.Client.Calls.size() == 1);
  cell.Log.Leads = false;
  cell.submit();
  cell.run(placement::ReportedState::Running);
  CHECK(cell.Tasks.empty());
  CHECK(cell.Client.Calls.empty());
}

TEST_CASE("A job larger than any VM is refused with field and limit",
          "[workers]") {
  Cell cell;
  cell.Driver.becomeLeader();
  cell.commitAll();
  protocol::Command command;
  protocol::JobSpec &spec = *command.mutable_submit_job()->mutable_spec();
  spec.set_profile("sheet");
  spec.mutable_overrides()->mutable_resources()->set_milli_processors(33'000);
  CHECK_FALSE(cell.Driver.refusalOf(command));
  cell.announce();
  const auto refusal = cell.Driver.refusalOf(command);
  REQUIRE(refusal);
  CHECK(refusal->field() == "resources");
  CHECK(refusal->message().find("32000") != std::string::npos);
}

TEST_CASE("A snapshot keeps the outcomes of tasks", "[workers][state]") {
  Cell cell;
  cell.submit();
  cell.submit();
  cell.apply([](protocol::Command &it) {
    protocol::TaskOutcomes &outcomes =
        *it.mutable_record_placement()->add_outcomes();
    outcomes.set_job("job-1");
    outcomes.add_finished(0);
    outcomes.set_ended(true);
  });
  cell::CellState restored;
  restored.restore(cell.State.snapshot());
  CHECK(restored.jobs().at("job-1").ended_order() == 1);
  CHECK(restored.jobs().at("job-2").ended_order() == 0);
  CHECK(restored.snapshot().SerializeAsString() ==
        cell.State.snapshot().SerializeAsString());
}

TEST_CASE("The leadership record is proposed again if the log refused it",
          "[workers]") {
  Cell cell;
  cell.Log.Leads = false;
  cell.Driver.becomeLeader();
  cell.Log.Leads = true;
  cell.Driver.tick();
  cell.commitAll();
  CHECK(cell.Driver.placer() != nullptr);
}

TEST_CASE("A leader waits for the longest lease that any leader granted",
          "[workers]") {
  Cell cell;
  cell.apply([](protocol::Command &it) {
    it.mutable_record_placement()->set_worker_lease_ms(60'000);
  });
  cell.submit();
  cell.Driver.becomeLeader();
  cell.commitAll();
  cell.announce();
  cell.Clock.advance(Milliseconds(60'000));
  cell.run(placement::ReportedState::Running);
  CHECK(cell.Tasks.empty());
  cell.Clock.advance(Milliseconds(1'000));
  cell.run(placement::ReportedState::Running);
  CHECK(cell.Tasks.size() == 1);
}
