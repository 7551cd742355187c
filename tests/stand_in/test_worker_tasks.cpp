#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/stand_in/worker_tasks.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

constexpr std::int64_t Incarnation = 7;

TaskStart makeStart(const std::string &task, std::int64_t processors,
                    const std::string &payload = R"({"run_ms":100})") {
  return {{task, 1}, {processors, 10, 0}, false, payload, ""};
}

/// Worker with four processors and a manual clock.
struct Worker {
  ManualClock Clock;
  WorkerTasks Tasks{{4000, 1000, 0}, {}, Incarnation};
  std::int64_t Sequence = 0;

  LeaseRequest request() {
    LeaseRequest request;
    request.Epoch = 1;
    request.Sequence = ++Sequence;
    request.Lease = Milliseconds(1000);
    return request;
  }

  std::optional<LeaseRefusal> start(TaskStart task) {
    LeaseRequest renewal = request();
    renewal.Start.push_back(std::move(task));
    return Tasks.apply(renewal, Clock.now());
  }

  void advance(int millis) {
    Clock.advance(Milliseconds(millis));
    Tasks.advance(Clock.now());
  }

  TaskReport onlyTask() {
    const LeaseReport report = Tasks.report(Clock.now());
    REQUIRE(report.Tasks.size() == 1);
    return report.Tasks.front();
  }

  std::vector<std::string> events() {
    std::vector<std::string> events;
    for (const TaskRecord &it : Tasks.takeRecords()) {
      events.push_back(it.Id.Task + " " + std::string(it.Event) + " " +
                       std::to_string(it.InUse.MilliProcessors));
    }
    return events;
  }
};

using Events = std::vector<std::string>;

} // namespace

TEST_CASE("A task ends after its run time and is reported until forgotten",
          "[stand-in][worker]") {
  Worker worker;
  REQUIRE_FALSE(worker.start(makeStart("a", 3000)));
  worker.advance(99);
  CHECK(worker.onlyTask().State == TaskState::Running);
  worker.advance(1);
  CHECK(worker.onlyTask().State == TaskState::Finished);
  CHECK(worker.events() == Events{"a start 3000", "a stop 0"});

  LeaseRequest renewal = worker.request();
  renewal.Forget.push_back({"a", 1});
  worker.Tasks.apply(renewal, worker.Clock.now());
  CHECK(worker.Tasks.report(worker.Clock.now()).Tasks.empty());
}

TEST_CASE("An attempt is started only once", "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 1000));
  worker.start(makeStart("a", 1000));
  worker.advance(100);
  worker.start(makeStart("a", 1000));
  CHECK(worker.events() == Events{"a start 1000", "a stop 0"});
}

TEST_CASE("A second attempt is refused while the task runs",
          "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 1000));
  TaskStart second = makeStart("a", 1000);
  second.Id.Attempt = 2;
  worker.start(second);
  CHECK(worker.events() == Events{"a start 1000", "a refused 1000"});
}

TEST_CASE("A start beyond capacity is refused", "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 3000));
  worker.start(makeStart("b", 1001));
  worker.start(makeStart("c", 1000));
  CHECK(worker.events() ==
        Events{"a start 3000", "b refused 3000", "c start 4000"});
}

TEST_CASE("All tasks stop when the lease expires", "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("long", 1000, R"({"run_ms":5000})"));
  worker.start(makeStart("short", 1000, R"({"run_ms":900})"));
  worker.advance(999);
  CHECK(worker.Tasks.inUse().MilliProcessors == 1000);
  worker.advance(1);
  CHECK(worker.Tasks.inUse().MilliProcessors == 0);
  CHECK(worker.events() == Events{"long start 1000", "short start 2000",
                                  "short stop 1000", "long stop 0"});
}

TEST_CASE("A renewal of an expired lease does not restart tasks",
          "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 1000, R"({"run_ms":5000})"));
  // Simulates a paused process: the clock moves without a call to advance().
  worker.Clock.advance(Milliseconds(1500));
  REQUIRE_FALSE(worker.Tasks.apply(worker.request(), worker.Clock.now()));
  CHECK(worker.onlyTask().State == TaskState::Stopped);
  CHECK(worker.onlyTask().Reason == "lease_expired");
}

TEST_CASE("A request that arrives after its lease has expired is refused",
          "[stand-in][worker]") {
  Worker worker;
  LeaseRequest renewal = worker.request();
  renewal.WorkerClock = worker.Tasks.report(worker.Clock.now()).WorkerClock;
  renewal.Start.push_back(makeStart("a", 1000));
  worker.Clock.advance(renewal.Lease);
  const auto refusal = worker.Tasks.apply(renewal, worker.Clock.now());
  REQUIRE(refusal);
  CHECK(refusal->Code == "lease_over");
  CHECK(worker.events().empty());
}

TEST_CASE("A lease starts at the given reading of the worker's clock",
          "[stand-in][worker]") {
  Worker worker;
  LeaseRequest renewal = worker.request();
  renewal.WorkerClock = worker.Tasks.report(worker.Clock.now()).WorkerClock;
  renewal.Start.push_back(makeStart("a", 1000, R"({"run_ms":5000})"));
  worker.Clock.advance(Milliseconds(600));
  REQUIRE_FALSE(worker.Tasks.apply(renewal, worker.Clock.now()));
  worker.advance(400);
  CHECK(worker.onlyTask().Reason == "lease_expired");
}

TEST_CASE("Requests with an old epoch, sequence or incarnation are refused",
          "[stand-in][worker]") {
  Worker worker;
  LeaseRequest current = worker.request();
  current.Epoch = 5;
  current.Sequence = 10;
  REQUIRE_FALSE(worker.Tasks.apply(current, worker.Clock.now()));

  LeaseRequest late = current;
  late.Start.push_back(makeStart("a", 1000));
  std::string code;
  SECTION("epoch") {
    late.Epoch = 4;
    late.Sequence = 11;
    code = "stale_epoch";
  }
  SECTION("sequence") { code = "stale_sequence"; }
  SECTION("incarnation") {
    late.Sequence = 11;
    late.Incarnation = Incarnation - 1;
    code = "wrong_incarnation";
  }
  const auto refusal = worker.Tasks.apply(late, worker.Clock.now());
  REQUIRE(refusal);
  CHECK(refusal->Code == code);
  CHECK(refusal->Epoch == 5);
  CHECK(worker.events().empty());
}

TEST_CASE("A task resumes from the checkpoint of a stopped attempt",
          "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 1000));
  worker.Clock.advance(Milliseconds(40));
  LeaseRequest renewal = worker.request();
  renewal.Stop.push_back({{"a", 1}, true, Milliseconds(10)});
  worker.Tasks.apply(renewal, worker.Clock.now());
  const TaskReport stopped = worker.onlyTask();
  CHECK(stopped.State == TaskState::Stopped);
  CHECK(stopped.Checkpoint == "40");

  TaskStart next = makeStart("b", 1000);
  next.ResumeCheckpoint = stopped.Checkpoint;
  worker.start(next);
  worker.advance(59);
  CHECK(worker.Tasks.inUse().MilliProcessors == 1000);
  worker.advance(1);
  CHECK(worker.Tasks.inUse().MilliProcessors == 0);
}

TEST_CASE("A service runs until it is stopped", "[stand-in][worker]") {
  Worker worker;
  TaskStart service = makeStart("a", 1000, "");
  service.Service = true;
  worker.start(service);
  for (int i = 0; i < 20; ++i) {
    worker.Tasks.apply(worker.request(), worker.Clock.now());
    worker.advance(900);
  }
  CHECK(worker.onlyTask().State == TaskState::Running);
}

TEST_CASE("A lease request with invalid fields is rejected", "[stand-in]") {
  const auto body = GENERATE(
      as<std::string>{}, "{", R"({"epoch":1,"sequence":1})",
      R"({"epoch":-1,"sequence":1,"lease_ms":5})",
      R"({"epoch":1,"sequence":1,"lease_ms":5,"start":[{"task":"a"}]})",
      R"({"epoch":1,"sequence":1,"lease_ms":5,"later":1})");
  CHECK_FALSE(parseLeaseRequest(body));
}

TEST_CASE("A request with a lease of zero returns the report only",
          "[stand-in][worker]") {
  Worker worker;
  worker.start(makeStart("a", 1000, R"({"run_ms":5000})"));
  worker.advance(600);
  LeaseRequest reportRequest = worker.request();
  reportRequest.Lease = Milliseconds(0);
  reportRequest.Start.push_back(makeStart("b", 1000));
  REQUIRE_FALSE(worker.Tasks.apply(reportRequest, worker.Clock.now()));
  CHECK(worker.onlyTask().Reserved.MilliProcessors == 1000);
  worker.advance(399);
  CHECK(worker.onlyTask().State == TaskState::Running);
  worker.advance(1);
  CHECK(worker.onlyTask().Reason == "lease_expired");
  reportRequest.Sequence = 1;
  CHECK(worker.Tasks.apply(reportRequest, worker.Clock.now())->Code ==
        "stale_sequence");
}
