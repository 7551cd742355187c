#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "tests/placement/fake_cell.hpp"
#include <ostream>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

constexpr std::size_t VmCount = 6;

enum class ActionKind : std::uint8_t {
  SubmitBatch,
  SubmitGang,
  SubmitService,
  SubmitUrgent,
  SubmitOnce,
  Cancel,
  EndTasks,
  FailTasks,
  Advance,
  LinkDown,
  LoseAnswers,
  PauseVm,
  LinkUp,
  RestartVm,
  ChangeLeader,
  Drain,
  Undrain,
  StopRecording,
  ResumeRecording,
  LimitTeam,
  ReportUsage,
  Count,
};

/// Number of jobs submitted so far; their names are numbered.
struct Model {
  std::uint32_t Jobs = 0;
};

std::string jobName(std::uint32_t number) {
  return "job-" + std::to_string(number);
}

PlacerSettings fuzzSettings() {
  PlacerSettings settings;
  settings.Failures.InitialBackOff = Milliseconds(500);
  settings.Failures.MaxBackOff = Milliseconds(4'000);
  settings.Failures.MaxEjectedPercent = 50;
  return settings;
}

/// An action on a cell: input, fault or passage of time.
class Action : public rc::state::Command<Model, FakeCell> {
public:
  Action(ActionKind kind, std::uint32_t target, std::uint32_t amount)
      : Kind(kind), Target(target), Amount(amount) {}

  void apply(Model &model) const override {
    model.Jobs += Kind <= ActionKind::SubmitOnce ? 1 : 0;
  }

  void run(const Model &model, FakeCell &cell) const override {
    const std::size_t vm = Target % VmCount;
    const std::string vmName = cell.worker(vm).description().Name;
    switch (Kind) {
    case ActionKind::Cancel:
      if (model.Jobs > 0) {
        cell.cancel(jobName(Target % model.Jobs));
      }
      break;
    case ActionKind::EndTasks:
      return endTasks(cell, vm, true);
    case ActionKind::FailTasks:
      return endTasks(cell, vm, false);
    case ActionKind::Advance:
      return cell.advance(Milliseconds(37 * (Amount + 1)), 1 + Target % 4);
    case ActionKind::LinkDown:
      return cell.setLink(vm, FakeCell::Link::Down);
    case ActionKind::LoseAnswers:
      return cell.setLink(vm, FakeCell::Link::AnswersLost);
    case ActionKind::PauseVm:
      return cell.setLink(vm, FakeCell::Link::Paused);
    case ActionKind::LinkUp:
      return cell.setLink(vm, FakeCell::Link::Up);
    case ActionKind::RestartVm:
      return cell.restartWorker(vm);
    case ActionKind::ChangeLeader:
      return cell.changeLeader();
    case ActionKind::Drain:
      return cell.setDraining(vmName, true);
    case ActionKind::Undrain:
      return cell.setDraining(vmName, false);
    case ActionKind::StopRecording:
      return cell.setRecording(false);
    case ActionKind::ResumeRecording:
      return cell.setRecording(true);
    case ActionKind::LimitTeam:
      return cell.setTeam("mills", {Resources{1'000 * Amount, 131'072, 0}, 1});
    case ActionKind::ReportUsage:
      return cell.setUsage(vm, Amount);
    default:
      cell.submit(makeJob(jobName(model.Jobs)));
    }
  }

  void show(std::ostream &os) const override {
    os << static_cast<int>(Kind) << '(' << Target << ", " << Amount << ')';
  }

private:
  JobTerms makeJob(std::string name) const {
    // Only one VM has accelerators, so a job that needs them must fit there as
    // a whole.
    const bool accelerated = Target % 8 == 0;
    const Resources perTask{accelerated ? 1'000 : 1'000 + 500 * (Amount % 64),
                            512, accelerated ? 1 : 0};
    JobTerms job = batchJob(std::move(name), 1 + Target % 6, perTask);
    job.Team = Target % 2 == 0 ? "mills" : "shops";
    job.Profile = "profile-" + std::to_string(Amount % 3);
    job.ExpectedRunTime = Milliseconds(Amount * 100);
    job.Preemptible = Amount % 2 == 0;
    job.Checkpoint = Amount % 4 == 0;
    job.Policy = Amount % 5 == 0 ? PolicyName::Spread : PolicyName::Pack;
    job.RackLimit = Amount % 7 == 0 && !accelerated ? 2 : 0;
    switch (Kind) {
    case ActionKind::SubmitGang:
      job.Kind = JobKind::Gang;
      job.InTier = Target % 3 == 0 ? Tier::Urgent : Tier::Patient;
      break;
    case ActionKind::SubmitService:
      job.Kind = JobKind::Service;
      break;
    case ActionKind::SubmitUrgent:
      job.InTier = Tier::Urgent;
      break;
    case ActionKind::SubmitOnce:
      job.Repeatable = job.Checkpoint = false;
      break;
    default:
      break;
    }
    return job;
  }

  static void endTasks(FakeCell &cell, std::size_t vm, bool succeeds) {
    const std::size_t count = cell.worker(vm).tasks().size();
    for (std::size_t it = 0; it < count; it += 2) {
      cell.endTask(vm, it, succeeds);
    }
  }

  ActionKind Kind;
  std::uint32_t Target;
  std::uint32_t Amount;
};

using ActionPointer =
    std::shared_ptr<const rc::state::Command<Model, FakeCell>>;

rc::Gen<ActionPointer> genAction() {
  const auto kinds = rc::gen::weightedOneOf<ActionKind>({
      {3, rc::gen::just(ActionKind::Advance)},
      {2, rc::gen::just(ActionKind::EndTasks)},
      {2, rc::gen::just(ActionKind::LinkUp)},
      {8, rc::gen::map(rc::gen::inRange(0, static_cast<int>(ActionKind::Count)),
                       [](int kind) { return static_cast<ActionKind>(kind); })},
  });
  return rc::gen::apply(
      [](ActionKind kind, std::uint32_t target, std::uint32_t amount) {
        return ActionPointer(std::make_shared<Action>(kind, target, amount));
      },
      kinds, rc::gen::inRange<std::uint32_t>(0, 48),
      rc::gen::inRange<std::uint32_t>(0, 128));
}

/// Services run until cancelled and keep their resources, so they must end
/// before the last jobs can run.
void cancelServices(FakeCell &cell) {
  const std::map<std::string, JobTerms> jobs = cell.jobs();
  for (const auto &[id, job] : jobs) {
    if (job.Kind == JobKind::Service) {
      cell.cancel(id);
    }
  }
}

/// Repairs all faults and lets all tasks succeed.
void recover(FakeCell &cell) {
  cell.setRecording(true);
  cell.setTeam("mills", {});
  for (std::size_t vm = 0; vm < VmCount; ++vm) {
    cell.setLink(vm, FakeCell::Link::Up);
    cell.setDraining(cell.worker(vm).description().Name, false);
  }
  cancelServices(cell);
  for (int round = 0; round < 400; ++round) {
    cell.advance(Milliseconds(200));
    for (std::size_t vm = 0; vm < VmCount; ++vm) {
      const auto &tasks = cell.worker(vm).tasks();
      for (std::size_t it = 0; it < tasks.size(); ++it) {
        cell.endTask(vm, it, true);
      }
    }
  }
}

/// Checks the final state of a job after recovery.
void checkRecovered(FakeCell &cell, const JobTerms &job) {
  const protocol::JobProgress &progress = cell.progress(job.Id);
  const auto ended = [&](const TaskRanges &ranges) {
    return tasksOf(ranges).size();
  };
  if (job.Cancelled) {
    RC_ASSERT(cell.endedJobs().contains(job.Id));
    RC_ASSERT(cell.running(job.Id) == 0U);
    return;
  }
  const auto explanation = cell.placer().explain(job.Id);
  if (explanation) {
    RC_LOG() << job.Id << ": " << nameOf(explanation->Reason) << ", "
             << explanation->Text << ", waiting " << explanation->Waiting
             << ", active " << explanation->Active << ", running "
             << explanation->Running << '\n';
  }
  if (explanation && explanation->Reason == WaitReason::LargerThanAnyVm) {
    return;
  }
  if (job.Kind != JobKind::Service) {
    RC_ASSERT(cell.endedJobs().contains(job.Id));
    RC_ASSERT(ended(progress.finished()) + ended(progress.failed()) +
                  ended(progress.unknown()) ==
              job.Tasks);
    RC_ASSERT(job.Repeatable == false || ended(progress.unknown()) == 0U);
  }
}

void fuzzPlacer() {
  const auto actions = *rc::state::gen::commands(
      Model{}, [](const Model &) { return genAction(); });
  FakeCell cell(fuzzSettings());
  for (std::size_t vm = 0; vm < VmCount; ++vm) {
    WorkerDescription description = standardVm(vm);
    description.Rack = "rack-" + std::to_string(vm / 2);
    description.Capacity.Accelerators = vm == 0 ? 8 : 0;
    const std::int64_t gains[] = {0, -9'000, 9'000};
    cell.addWorker(description, gains[vm % 3]);
  }
  rc::state::runAll(actions, Model{}, cell);
  recover(cell);
  for (const auto &[id, job] : cell.jobs()) {
    checkRecovered(cell, job);
  }
}

} // namespace

TEST_CASE("No task runs twice or is lost under random faults",
          "[placement][fuzzing]") {
  CHECK(rc::check("placer against a model of the cell", fuzzPlacer));
}

TEST_CASE("No task runs twice or is lost under random faults, long run",
          "[.long][fuzzing]") {
  // RC_PARAMS sets the number of runs, for instance max_success=20000.
  CHECK(rc::check("placer against a model of the cell", fuzzPlacer));
}
