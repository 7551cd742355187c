#include <catch2/catch.hpp>

#include "tests/placement/fake_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

constexpr Milliseconds Tick{100};

/// Ends all running tasks of the job with success.
void finishAll(FakeCell &cell, const std::string &job) {
  for (std::size_t vm = 0; vm < cell.workerCount(); ++vm) {
    const auto &tasks = cell.worker(vm).tasks();
    for (std::size_t it = 0; it < tasks.size(); ++it) {
      if (tasks[it].Id.Job == job) {
        cell.endTask(vm, it, true);
      }
    }
  }
}

} // namespace

TEST_CASE("A job's tasks run and its end becomes durable", "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.submit(batchJob("sheet", 4, {8'000, 1024, 0}));
  cell.submit(batchJob("next", 1, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  CHECK(cell.running("sheet") == 4);
  CHECK(cell.running("next") == 0);
  CHECK(cell.placer().explain("next")->Reason == WaitReason::Capacity);
  finishAll(cell, "sheet");
  cell.advance(Tick, 2);
  CHECK(cell.endedJobs().contains("sheet"));
  CHECK(cell.progress("sheet").finished(0).count() == 4);
  CHECK(cell.running("next") == 1);
}

TEST_CASE(
    "Tasks of an unresponsive worker are placed again only after its lease",
    "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.submit(batchJob("sheet", 1, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  REQUIRE(cell.running("sheet") == 1);
  cell.addWorker(standardVm(1));
  cell.setLink(0, FakeCell::Link::Down);
  cell.advance(Tick, 95);
  CHECK(cell.worker(1).tasks().empty());
  cell.advance(Tick, 60);
  CHECK(cell.worker(1).tasks().size() == 1);
  CHECK(cell.running("sheet") == 1);
}

TEST_CASE("Calls that a paused worker receives late start nothing",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.advance(Tick, 2);
  cell.setLink(0, FakeCell::Link::Paused);
  cell.submit(batchJob("sheet", 1, {8'000, 1024, 0}));
  cell.advance(Tick, 150);
  cell.addWorker(standardVm(1));
  cell.advance(Tick, 50);
  REQUIRE(cell.running("sheet") == 1);
  cell.setLink(0, FakeCell::Link::Up);
  cell.advance(Tick, 50);
  CHECK(cell.running("sheet") == 1);
  CHECK(cell.worker(0).tasks().empty());
}

TEST_CASE("A new leader adopts reported tasks and starts none of them twice",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.addWorker(standardVm(1));
  cell.submit(batchJob("sheet", 6, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  REQUIRE(cell.running("sheet") == 6);
  cell.setLink(1, FakeCell::Link::Down);
  cell.changeLeader();
  cell.advance(Tick, 50);
  CHECK(cell.placer().explain("sheet")->Running == 4);
  CHECK(cell.placer().explain("sheet")->Reason == WaitReason::LeaderChange);
  SECTION("later jobs start at once") {
    finishAll(cell, "sheet");
    cell.submit(batchJob("later", 1, {8'000, 1024, 0}));
    cell.advance(Tick, 2);
    CHECK(cell.running("later") == 1);
  }
  SECTION("the rest resumes after the longest lease") {
    finishAll(cell, "sheet");
    cell.advance(Tick, 100);
    CHECK(cell.running("sheet") == 2);
  }
}

TEST_CASE("A non-repeatable task starts once, after its record is durable",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  JobTerms render = batchJob("render", 1, {8'000, 1024, 0});
  render.Repeatable = false;
  cell.setRecording(false);
  cell.submit(render);
  cell.advance(Tick, 5);
  CHECK(cell.running("render") == 0);
  cell.setRecording(true);
  cell.advance(Tick, 2);
  CHECK(cell.running("render") == 1);
  SECTION("its worker is lost") {
    cell.addWorker(standardVm(1));
    cell.setLink(0, FakeCell::Link::Down);
    cell.advance(Tick, 200);
  }
  SECTION("its worker and the leader are lost") {
    cell.setLink(0, FakeCell::Link::Down);
    cell.changeLeader();
    cell.advance(Tick, 200);
  }
  CHECK(holdsTask(cell.progress("render").unknown(), 0));
  CHECK(cell.endedJobs().contains("render"));
  CHECK(cell.starts() == 1);
}

TEST_CASE("A gang starts as a whole, and backfill respects its reservation",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.addWorker(standardVm(1));
  cell.submit(batchJob("long", 1, {32'000, 1024, 0}));
  cell.advance(Tick, 2);
  JobTerms gang = batchJob("gang", 2, {32'000, 1024, 0});
  gang.Kind = JobKind::Gang;
  cell.submit(gang);
  cell.advance(Tick, 2);
  CHECK(cell.running("gang") == 0);
  CHECK(cell.placer().explain("gang")->Reason == WaitReason::Reservation);
  JobTerms hour = batchJob("hour", 1, {16'000, 1024, 0});
  hour.Profile = "hour";
  hour.ExpectedRunTime = std::chrono::hours(1);
  hour.Preemptible = true;
  cell.submit(hour);
  JobTerms brief = batchJob("brief", 1, {16'000, 1024, 0});
  brief.Profile = "brief";
  brief.ExpectedRunTime = Milliseconds(10'000);
  brief.Preemptible = true;
  cell.submit(brief);
  cell.advance(Tick, 2);
  CHECK(cell.running("hour") == 0);
  CHECK(cell.running("brief") == 1);
  SECTION("short work ends in time") { finishAll(cell, "brief"); }
  SECTION("short work that overruns is stopped") {
    cell.advance(Milliseconds(1000), 70);
  }
  finishAll(cell, "long");
  cell.advance(Tick, 10);
  CHECK(cell.running("gang") == 2);
}

TEST_CASE("Urgent work preempts preemptible work", "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  JobTerms rebuild = batchJob("rebuild", 4, {8'000, 1024, 0});
  rebuild.Preemptible = rebuild.Checkpoint = true;
  cell.submit(rebuild);
  cell.advance(Tick, 2);
  JobTerms lookup = batchJob("lookup", 1, {8'000, 1024, 0});
  lookup.InTier = Tier::Urgent;
  lookup.Profile = "lookup";
  cell.submit(lookup);
  cell.advance(Tick, 10);
  CHECK(cell.running("lookup") == 1);
  CHECK(cell.running("rebuild") == 3);
  finishAll(cell, "lookup");
  cell.advance(Tick, 3);
  CHECK(cell.running("rebuild") == 4);
}

TEST_CASE("Cancelled tasks end once, whatever their state", "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.submit(batchJob("sheet", 6, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  REQUIRE(cell.running("sheet") == 4);
  cell.endTask(0, 0, true);
  cell.cancel("sheet");
  cell.cancel("sheet");
  cell.advance(Tick, 10);
  CHECK(cell.running("sheet") == 0);
  CHECK(cell.endedJobs().contains("sheet"));
  CHECK(cell.placer().activeAttempts() == 0);
  CHECK(cell.progress("sheet").finished_size() == 1);
}

TEST_CASE("Infeasible jobs do not block other jobs", "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.setTeam("small", {Resources{4'000, 4096, 0}, 1});
  cell.submit(batchJob("huge", 1, {64'000, 1024, 0}));
  cell.submit(batchJob("accelerated", 1, {1'000, 1024, 1}));
  JobTerms over = batchJob("over", 1, {8'000, 1024, 0});
  over.Team = "small";
  cell.submit(over);
  cell.submit(batchJob("fine", 1, {1'000, 1024, 0}));
  cell.advance(Tick, 2);
  CHECK(cell.running("fine") == 1);
  CHECK(cell.placer().explain("huge")->Reason == WaitReason::LargerThanAnyVm);
  CHECK(cell.placer().explain("accelerated")->Reason ==
        WaitReason::LargerThanAnyVm);
  CHECK(cell.placer().explain("over")->Reason == WaitReason::LargerThanQuota);
  WorkerDescription large = standardVm(1);
  large.Capacity = {128'000, 131'072, 0};
  cell.addWorker(large);
  cell.advance(Tick, 3);
  CHECK(cell.running("huge") == 1);
}

TEST_CASE("Quotas are enforced and teams share by dominant resource",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.setTeam("capped", {Resources{4'000, 131'072, 0}, 1});
  JobTerms capped = batchJob("capped", 8, {2'000, 512, 0});
  capped.Team = "capped";
  cell.submit(capped);
  JobTerms first = batchJob("first", 40, {1'000, 512, 0});
  first.Team = "first";
  JobTerms second = batchJob("second", 40, {1'000, 512, 0});
  second.Team = "second";
  cell.submit(first);
  cell.submit(second);
  cell.advance(Tick, 3);
  CHECK(cell.running("capped") == 2);
  CHECK(cell.placer().explain("capped")->Reason == WaitReason::TeamQuota);
  CHECK(cell.running("first") + cell.running("second") == 28);
  CHECK(cell.running("first") >= 10);
  CHECK(cell.running("second") >= 10);
}

TEST_CASE("A VM that fails every task is ejected, and a faulty job is delayed",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  for (std::size_t it = 0; it < 12; ++it) {
    cell.addWorker(standardVm(it));
  }
  const auto failOn = [&](auto fails) {
    for (std::size_t vm = 0; vm < cell.workerCount(); ++vm) {
      const auto tasks = cell.worker(vm).tasks();
      for (std::size_t it = 0; it < tasks.size(); ++it) {
        cell.endTask(vm, it, !fails(vm, tasks[it].Id.Job));
      }
    }
  };
  SECTION("faulty VM") {
    for (int round = 0; round < 12; ++round) {
      cell.submit(batchJob("job" + std::to_string(round), 4, {8'000, 512, 0}));
      cell.advance(Tick, 2);
      failOn([](std::size_t vm, const std::string &) { return vm == 0; });
    }
    cell.advance(Tick, 2);
    CHECK(cell.placer().worker("vm-0")->Ejected);
    CHECK_FALSE(cell.placer().worker("vm-1")->Ejected);
  }
  SECTION("faulty job") {
    cell.submit(batchJob("bad", 4, {32'000, 512, 0}));
    for (int round = 0; round < 8; ++round) {
      cell.advance(Tick, 2);
      failOn([](std::size_t, const std::string &) { return true; });
    }
    CHECK(cell.placer().explain("bad")->Reason == WaitReason::BackOff);
    for (const WorkerSummary &it : cell.placer().workers()) {
      CHECK_FALSE(it.Ejected);
    }
  }
}

TEST_CASE("Services on a drained VM are replaced before they stop",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  JobTerms quotes = batchJob("quotes", 2, {8'000, 1024, 0});
  quotes.Kind = JobKind::Service;
  quotes.Policy = PolicyName::Spread;
  cell.submit(quotes);
  JobTerms rebuild = batchJob("rebuild", 1, {8'000, 1024, 0});
  rebuild.Checkpoint = true;
  cell.submit(rebuild);
  cell.advance(Tick, 2);
  REQUIRE(cell.worker(0).tasks().size() == 3);
  cell.setDraining("vm-0", true);
  cell.advance(Tick, 10);
  CHECK(cell.running("quotes") == 2);
  CHECK(cell.running("rebuild") == 0);
  cell.addWorker(standardVm(1));
  for (int it = 0; it < 20; ++it) {
    cell.advance(Tick);
    CHECK(cell.running("quotes") >= 2);
  }
  CHECK(cell.running("quotes") == 2);
  CHECK(cell.running("rebuild") == 1);
  CHECK(cell.placer().worker("vm-0")->Attempts == 0);
  CHECK(cell.worker(1).tasks().size() == 3);
}

TEST_CASE("Services are spread over racks and data centres", "[placement]") {
  FakeCell cell(PlacerSettings{});
  for (std::size_t it = 0; it < 24; ++it) {
    cell.addWorker(standardVm(it));
  }
  cell.advance(Tick, 2);
  JobTerms quotes = batchJob("quotes", 3, {8'000, 1024, 0});
  quotes.Kind = JobKind::Service;
  quotes.Policy = PolicyName::Spread;
  quotes.RackLimit = 1;
  cell.submit(quotes);
  cell.advance(Tick, 2);
  std::set<std::string> racks;
  for (std::size_t it = 0; it < 24; ++it) {
    if (!cell.worker(it).tasks().empty()) {
      racks.insert(cell.worker(it).description().Rack);
    }
  }
  CHECK(racks.size() == 3);
}

TEST_CASE("A job of an earlier leader may end before its leases expire",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.submit(batchJob("sheet", 1, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  cell.changeLeader();
  cell.advance(Tick, 2);
  finishAll(cell, "sheet");
  cell.advance(Tick, 2);
  CHECK(cell.endedJobs().contains("sheet"));
  cell.advance(Tick, 150);
  CHECK_FALSE(cell.placer().explain("sheet"));
}

TEST_CASE("A gang restarts as a whole when a worker refuses one of its tasks",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.addWorker(standardVm(1));
  cell.advance(Tick, 2);
  cell.restartWorker(0);
  JobTerms gang = batchJob("gang", 2, {32'000, 512, 0});
  gang.Kind = JobKind::Gang;
  cell.submit(gang);
  cell.advance(Milliseconds(1));
  finishAll(cell, "gang");
  cell.advance(Tick, 5);
  const auto finished = cell.placer().explain("gang");
  CHECK(cell.running("gang") + (finished ? finished->Finished : 2) == 2);
  finishAll(cell, "gang");
  cell.advance(Tick, 2);
  CHECK(cell.endedJobs().contains("gang"));
}

TEST_CASE("Ends that are not durable yet survive a change of leader",
          "[placement]") {
  FakeCell cell(PlacerSettings{});
  cell.addWorker(standardVm(0));
  cell.submit(batchJob("sheet", 2, {8'000, 1024, 0}));
  cell.advance(Tick, 2);
  cell.endTask(0, 0, true);
  cell.advance(Tick, 40);
  CHECK(cell.progress("sheet").finished_size() == 0);
  SECTION("a new leader learns of them from the worker") {
    cell.changeLeader();
    cell.advance(Tick, 2);
    CHECK(cell.placer().explain("sheet")->Finished == 1);
    CHECK(cell.starts() == 2);
  }
  SECTION("they become durable after the delay and the worker forgets them") {
    cell.advance(Tick, 650);
    CHECK(tasksOf(cell.progress("sheet").finished()).size() == 1);
    CHECK(cell.worker(0).tasks().size() == 1);
  }
}

TEST_CASE("A new leader renews the lease of a worker with tasks immediately",
          "[placement][leases]") {
  PlacerSettings settings;
  FakeCell cell(settings);
  cell.addWorker(standardVm(0));
  cell.advance(Milliseconds(100), 3);
  cell.submit(batchJob("a", 1, {1'000, 512, 0}));
  cell.advance(Milliseconds(100), 3);
  REQUIRE(cell.running("a") == 1);
  cell.setLink(0, FakeCell::Link::Down);
  cell.advance(settings.Lease.Length - Milliseconds(1'500));
  REQUIRE(cell.running("a") == 1);

  cell.changeLeader();
  cell.setLink(0, FakeCell::Link::Up);
  cell.advance(Milliseconds(100));
  cell.advance(Milliseconds(1'500));

  CHECK(cell.running("a") == 1);
}
