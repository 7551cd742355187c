#include <catch2/catch.hpp>

#include "tests/placement/fake_cell.hpp"
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

/// Records the events of a cell with their times, for comparison with an
/// approved file.
class Session {
public:
  explicit Session(std::size_t vms) : Cell(PlacerSettings{}) {
    for (std::size_t it = 0; it < vms; ++it) {
      Cell.addWorker(standardVm(it));
    }
    Started = Cell.now();
    run(100);
  }

  FakeCell &cell() { return Cell; }

  void note(const std::string &what) { Text << "# " << what << '\n'; }

  /// Advances time in steps of 100 ms.
  void run(std::int64_t millis) {
    constexpr Milliseconds Step{100};
    for (std::int64_t it = 0; it < millis; it += Step.count()) {
      Cell.advance(Step);
      write();
    }
  }

  void explain(const std::string &job) {
    const auto it = Cell.placer().explain(job);
    Text << "  " << job << ": "
         << (it ? std::string(nameOf(it->Reason)) + ", " + it->Text : "ended")
         << '\n';
  }

  /// Ends the running tasks that the predicate selects by VM and job.
  template <class Chosen> void end(bool succeeds, const Chosen &chosen) {
    for (std::size_t vm = 0; vm < Cell.workerCount(); ++vm) {
      const auto tasks = Cell.worker(vm).tasks();
      for (std::size_t it = 0; it < tasks.size(); ++it) {
        if (chosen(vm, tasks[it].Id.Job)) {
          Cell.endTask(vm, it, succeeds);
        }
      }
    }
  }

  void finish(const std::string &job) {
    end(true, [&](std::size_t, const std::string &it) { return it == job; });
  }

  std::string text() const { return Text.str(); }

private:
  void write() {
    for (const PlacementNotice &it : Cell.notices()) {
      const auto since =
          std::chrono::duration_cast<Milliseconds>(Cell.now() - Started);
      Text << since.count() << " ms " << nameOf(it.Kind);
      if (!it.Job.empty()) {
        Text << ' ' << it.Job;
      }
      if (it.Attempt != 0) {
        Text << " task " << it.Task;
      }
      if (!it.Vm.empty()) {
        Text << " on " << it.Vm;
      }
      Text << '\n';
    }
    Cell.clearNotices();
  }

  FakeCell Cell;
  SteadyTime Started;
  std::ostringstream Text;
};

/// Compares with the approved file. MASTICWINCH_APPROVE=1 in the environment
/// writes the file instead, for review.
void approve(const std::string &name, const std::string &text) {
  const std::string file = std::string(MASTICWINCH_SOURCE_DIR) +
                           "/tests/approved/placement/" + name + ".txt";
  if (std::getenv("MASTICWINCH_APPROVE") != nullptr) {
    std::ofstream(file) << text;
  }
  std::ifstream in(file);
  const std::string approved{std::istreambuf_iterator<char>(in), {}};
  CHECK(text == approved);
}

JobTerms gangJob(const std::string &id, std::uint32_t tasks,
                 Resources perTask) {
  JobTerms job = batchJob(id, tasks, perTask);
  job.Kind = JobKind::Gang;
  job.Profile = "gang";
  return job;
}

} // namespace

TEST_CASE("Session: a gang against backfill", "[placement][golden]") {
  Session session(3);
  session.note("two long jobs leave a third of the cell");
  session.cell().submit(batchJob("long", 2, {32'000, 1024, 0}));
  session.run(200);
  session.note("the gang needs every VM");
  session.cell().submit(gangJob("gang", 3, {32'000, 1024, 0}));
  session.run(200);
  session.explain("gang");
  session.note("work that would outlast the reservation, and work that won't");
  JobTerms late = batchJob("late", 2, {16'000, 1024, 0});
  late.Profile = "late";
  late.ExpectedRunTime = std::chrono::hours(2);
  late.Preemptible = true;
  session.cell().submit(late);
  JobTerms brief = batchJob("brief", 1, {16'000, 1024, 0});
  brief.Profile = "brief";
  brief.ExpectedRunTime = Milliseconds(5'000);
  brief.Preemptible = true;
  session.cell().submit(brief);
  session.run(300);
  session.explain("late");
  session.finish("brief");
  session.run(200);
  session.finish("long");
  session.run(300);
  session.note("the gang ends and the rest runs");
  session.finish("gang");
  session.run(300);
  approve("gang-against-backfill", session.text());
}

TEST_CASE("Session: a surge with urgent work", "[placement][golden]") {
  Session session(2);
  JobTerms sheets = batchJob("sheets", 8, {8'000, 1024, 0});
  sheets.Preemptible = sheets.Checkpoint = true;
  session.cell().submit(sheets);
  JobTerms renders = batchJob("renders", 4, {8'000, 1024, 0});
  renders.Team = "shops";
  renders.Repeatable = false;
  session.cell().submit(renders);
  session.run(300);
  session.note("lookups arrive");
  JobTerms lookups = batchJob("lookups", 2, {8'000, 1024, 0});
  lookups.InTier = Tier::Urgent;
  lookups.Profile = "lookup";
  lookups.Team = "shops";
  session.cell().submit(lookups);
  session.run(800);
  session.note("they end; what made room goes on from its checkpoint");
  session.finish("lookups");
  session.run(300);
  session.finish("renders");
  session.run(200);
  session.finish("sheets");
  session.run(200);
  approve("surge-with-urgent-work", session.text());
}

TEST_CASE("Session: a wave of cancellations races with starts",
          "[placement][golden]") {
  Session session(1);
  session.cell().submit(batchJob("first", 2, {8'000, 1024, 0}));
  session.cell().submit(batchJob("second", 3, {8'000, 1024, 0}));
  session.run(100);
  session.note("answers are lost while both are cancelled and a third comes");
  session.cell().setLink(0, FakeCell::Link::AnswersLost);
  session.cell().submit(batchJob("third", 1, {8'000, 1024, 0}));
  session.cell().cancel("first");
  session.cell().cancel("second");
  session.cell().cancel("second");
  session.run(500);
  session.finish("first");
  session.cell().cancel("third");
  session.run(200);
  session.note("answers arrive again");
  session.cell().setLink(0, FakeCell::Link::Up);
  session.run(4'000);
  for (const char *it : {"first", "second", "third"}) {
    session.explain(it);
  }
  approve("cancellation-wave", session.text());
}

TEST_CASE("Session: a VM that fails every task", "[placement][golden]") {
  Session session(12);
  for (int round = 0; round < 5; ++round) {
    const std::string name = "job-" + std::to_string(round);
    session.cell().submit(batchJob(name, 1, {8'000, 1024, 0}));
    session.run(200);
    session.end(false,
                [](std::size_t vm, const std::string &) { return vm == 0; });
    session.end(true,
                [](std::size_t vm, const std::string &) { return vm != 0; });
  }
  session.run(6'000);
  session.note("it may try one task after its time");
  session.cell().submit(batchJob("trial", 4, {8'000, 1024, 0}));
  session.run(200);
  session.finish("trial");
  session.run(200);
  approve("bad-vm", session.text());
}

TEST_CASE("Session: an infeasible job", "[placement][golden]") {
  Session session(1);
  session.cell().setTeam("mills", {Resources{24'000, 131'072, 8}, 1});
  session.cell().submit(batchJob("larger-than-any-vm", 1, {33'000, 1024, 0}));
  session.cell().submit(batchJob("no-accelerator", 1, {1'000, 1024, 1}));
  session.cell().submit(batchJob("larger-than-quota", 1, {25'000, 1024, 0}));
  session.cell().submit(gangJob("gang-over-quota", 4, {8'000, 1024, 0}));
  JobTerms wide = gangJob("larger-than-cell", 3, {16'000, 1024, 0});
  wide.Team = "shops";
  session.cell().submit(wide);
  session.cell().submit(batchJob("fine", 1, {8'000, 1024, 0}));
  session.run(200);
  for (const char *it :
       {"larger-than-any-vm", "no-accelerator", "larger-than-quota",
        "gang-over-quota", "larger-than-cell", "fine"}) {
    session.explain(it);
  }
  session.note("the quota is lifted and a VM with accelerators joins");
  session.cell().setTeam("mills", {});
  WorkerDescription large = standardVm(1);
  large.Capacity = {64'000, 131'072, 4};
  session.cell().addWorker(large);
  session.run(300);
  approve("never-runnable", session.text());
}
