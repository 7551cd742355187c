#include "masticwinch/protocol/cell.pb.h"
#include "masticwinch/workers/job_terms.hpp"

#include "benchmarks/capacity_measure.hpp"
#include "benchmarks/placement_fleet.hpp"
#include "benchmarks/placement_surge.hpp"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

using WallClock = std::chrono::steady_clock;

void printFigure(const std::string &name, double value, const char *unit) {
  std::printf("figure=%s value=%.6g unit=%s\n", name.c_str(), value, unit);
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto position = static_cast<std::size_t>(share * double(values.size()));
  const std::size_t index = std::min(position, values.size() - 1);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

double microsecondsSince(WallClock::time_point begin) {
  return std::chrono::duration<double, std::micro>(WallClock::now() - begin)
      .count();
}

/// A placer at steady load: every VM runs 25 tasks, a fifth of them of
/// services. Batch tasks end and start at a given rate.
class SteadyLoad {
public:
  explicit SteadyLoad(std::size_t vms)
      : Vms(vms), Leader({}, 1, Now),
        Workers(Leader, [this](const auto &id) { return runTime(id); }) {}

  void fill() {
    const double before = capacity::heapBytes();
    Workers.announce(Vms, bench::VmCapacity, Now);
    settle();
    const double announced = capacity::heapBytes();
    constexpr std::size_t TasksPerVm = 25;
    constexpr std::uint32_t TasksPerJob = 25;
    for (std::size_t it = 0; it < Vms * TasksPerVm / TasksPerJob; ++it) {
      submit(it % 5 == 0, TasksPerJob);
    }
    while (Leader.waitingJobs() > 0) {
      settle();
    }
    const double tasks = double(Leader.activeAttempts());
    const std::string size = std::to_string(Vms);
    printFigure("memory_per_worker_" + size, (announced - before) / double(Vms),
                "bytes");
    printFigure("memory_per_task_" + size,
                (capacity::heapBytes() - announced) / tasks, "bytes");
    printFigure("tasks_running_" + size, tasks, "tasks");
  }

  /// Lets batch tasks end and start at the rate for the given time. Each start
  /// counts the whole step that made it as its decision time.
  void measure(double startsPerSecond, std::chrono::seconds time,
               const std::string &prefix = "") {
    constexpr Milliseconds Tick{10};
    std::vector<double> perStart;
    std::vector<double> steps;
    double startsDue = 0;
    double busy = 0;
    std::size_t starts = 0;
    const SteadyTime end = Now + time;
    while (Now < end) {
      Now += Tick;
      startsDue += startsPerSecond * 0.010;
      for (; startsDue >= 1; --startsDue) {
        submit(false, 1);
      }
      const auto inputs = WallClock::now();
      Workers.advance(Now);
      const double inputTime = microsecondsSince(inputs);
      busy += inputTime;
      for (int round = 0; round < 4; ++round) {
        const std::size_t before = Leader.activeAttempts();
        const auto begin = WallClock::now();
        const StepEffects effects = Leader.step(Now);
        const double took = microsecondsSince(begin);
        const std::size_t started = Leader.activeAttempts() - before;
        steps.push_back(took / 1000);
        // A task waits for the whole step that places it.
        perStart.insert(perStart.end(), started, took);
        starts += started;
        const auto answers = WallClock::now();
        finish(effects);
        busy += took + microsecondsSince(answers);
        if (effects.Calls.empty() && effects.Records.empty()) {
          break;
        }
      }
    }
    report(prefix, perStart, steps, double(starts), busy);
  }

  /// Cancels half of the batch jobs at once.
  void measureCancellations() {
    std::vector<double> each;
    for (std::size_t it = 0; it < Submitted; it += 2) {
      const std::string id = fmt::format("job-{}", it);
      const auto begin = WallClock::now();
      Leader.cancelJob(id, Now);
      each.push_back(microsecondsSince(begin));
    }
    const auto begin = WallClock::now();
    for (int it = 0; it < 200; ++it) {
      Now += Milliseconds(10);
      settle();
    }
    const double settled = microsecondsSince(begin);
    const std::string size = std::to_string(Vms);
    double sum = settled;
    for (const double it : each) {
      sum += it;
    }
    printFigure("cancellation_p99_" + size, quantile(each, 0.99), "us");
    printFigure("cancellations_per_second_" + size,
                1e6 * double(each.size()) / sum, "jobs/s");
  }

  double p99() const { return DecisionP99; }

  /// Fills the cell and queues as many jobs again, then lets running tasks end
  /// at the rate, so that every end starts a waiting task.
  void measureBacklog(double startsPerSecond) {
    const std::string size = std::to_string(Vms);
    const double before = capacity::heapBytes();
    const std::size_t jobs = 7 * Vms + std::size_t(20 * startsPerSecond);
    for (std::size_t it = 0; it < jobs; ++it) {
      submit(false, 1);
    }
    printFigure("memory_per_job_" + size,
                (capacity::heapBytes() - before) / double(jobs), "bytes");
    measure(0, std::chrono::seconds(10), "backlog_");
    printFigure("backlog_jobs_waiting_" + size, double(Leader.waitingJobs()),
                "jobs");
  }

private:
  static constexpr Milliseconds ShortRunTime{2'000};

  Milliseconds runTime(const AttemptId &id) {
    return ShortJobs.contains(id.Job) ? ShortRunTime : std::chrono::hours(1);
  }

  void submit(bool service, std::uint32_t tasks) {
    JobTerms terms;
    terms.Id = fmt::format("job-{}", Submitted++);
    terms.Profile = service ? "service" : fmt::format("p{}", Submitted % 40);
    terms.Team = fmt::format("team-{}", Submitted % 1200);
    terms.Kind = service ? JobKind::Service : JobKind::Batch;
    terms.Policy = service ? PolicyName::Spread : PolicyName::Pack;
    terms.Tasks = tasks;
    terms.PerTask = {1'000, 4'096, 0};
    terms.ExpectedRunTime = ShortRunTime;
    if (tasks == 1) {
      ShortJobs.insert(terms.Id);
    }
    Leader.addJob(terms, {}, false, Now);
  }

  bool finish(const StepEffects &effects) {
    if (!effects.Records.empty()) {
      Leader.recorded(effects.Records.Id, Now);
    }
    for (const WorkerCall &it : effects.Calls) {
      Workers.answer(it, Now);
    }
    return !effects.Calls.empty() || !effects.Records.empty();
  }

  void settle() {
    while (finish(Leader.step(Now))) {
    }
  }

  void report(const std::string &prefix, const std::vector<double> &perStart,
              const std::vector<double> &steps, double starts, double busy) {
    const std::string size = std::to_string(Vms);
    const double p99 = quantile(perStart, 0.99) / 1000;
    DecisionP99 = prefix.empty() ? p99 : DecisionP99;
    printFigure(prefix + "decision_p50_" + size,
                quantile(perStart, 0.50) / 1000, "ms");
    printFigure(prefix + "decision_p99_" + size, p99, "ms");
    printFigure(prefix + "step_p99_" + size, quantile(steps, 0.99), "ms");
    printFigure(prefix + "starts_" + size, starts, "tasks");
    printFigure(prefix + "decisions_per_second_" + size, 1e6 * starts / busy,
                "1/s");
  }

  std::size_t Vms;
  SteadyTime Now = SteadyTime() + std::chrono::hours(1);
  Placer Leader;
  bench::Fleet Workers;
  std::size_t Submitted = 0;
  std::set<std::string> ShortJobs;
  double DecisionP99 = 0;
};

/// Log bytes per second that placement writes at a rate of starts, in jobs of
/// 600 tasks (240,000 jobs a day), with starts either covered by the leader's
/// epoch or recorded one by one.
double recordBytesPerSecond(bool durableStarts, double startsPerSecond) {
  constexpr std::uint32_t TasksPerJob = 600;
  constexpr std::size_t Vms = 1'000;
  constexpr std::chrono::seconds WarmUp{20};
  constexpr std::chrono::seconds MeasuredTime{60};
  constexpr Milliseconds Tick{50};
  SteadyTime now = SteadyTime() + std::chrono::hours(1);
  std::mt19937_64 random(1);
  Placer leader({}, 1, now);
  bench::Fleet fleet(leader, [&](const AttemptId &) {
    return Milliseconds(500 + static_cast<std::int64_t>(random() % 19'000));
  });
  fleet.announce(Vms, bench::VmCapacity, now);
  double startsDue = 0;
  double bytes = 0;
  std::size_t jobs = 0;
  const SteadyTime begin = now + WarmUp;
  const SteadyTime end = begin + MeasuredTime;
  while (now < end) {
    now += Tick;
    startsDue += startsPerSecond * 0.050;
    for (; startsDue >= TasksPerJob; startsDue -= TasksPerJob) {
      JobTerms terms;
      terms.Id = fmt::format("job-{}", 10'000'000 + jobs++);
      terms.Team = fmt::format("team-{}", jobs % 1200);
      terms.Tasks = TasksPerJob;
      terms.PerTask = {500, 1'024, 0};
      terms.Repeatable = !durableStarts;
      leader.addJob(terms, {}, false, now);
    }
    fleet.advance(now);
    for (int round = 0; round < 4; ++round) {
      const StepEffects effects = leader.step(now);
      if (!effects.Records.empty()) {
        protocol::Command command;
        *command.mutable_record_placement() =
            workers::messageOf(effects.Records);
        bytes += now > begin ? double(command.ByteSizeLong()) : 0;
        leader.recorded(effects.Records.Id, now);
      }
      for (const WorkerCall &it : effects.Calls) {
        fleet.answer(it, now);
      }
    }
  }
  return bytes / double(MeasuredTime.count());
}

double measureSize(std::size_t vms, double startsPerSecond) {
  SteadyLoad load(vms);
  load.fill();
  load.measure(startsPerSecond, std::chrono::seconds(10));
  load.measureBacklog(startsPerSecond);
  load.measureCancellations();
  return load.p99();
}

void printResult(const bench::Surge &surge, PolicyName policy,
                 std::uint64_t seed) {
  const bench::SurgeResult result = bench::SurgeRun(surge, policy).run();
  const std::string name =
      fmt::format("{}_{}_seed{}", surge.Name, nameOf(policy), seed);
  for (const auto &[profile, waits] : result.WaitMs) {
    printFigure(name + "_wait_p50_" + profile, quantile(waits, 0.50), "ms");
    printFigure(name + "_wait_p99_" + profile, quantile(waits, 0.99), "ms");
  }
  printFigure(name + "_packing", 100 * result.Packing, "%");
  printFigure(name + "_makespan_over_bound",
              100 * (result.MakespanMs / result.LowerBoundMs - 1), "%");
  printFigure(name + "_preemptions", double(result.Preemptions), "tasks");
  printFigure(name + "_control_time", result.ControlMs, "ms");
}

} // namespace

int main() {
  const double small = measureSize(50, 100);
  const double middle = measureSize(1'000, 1'700);
  const double large = measureSize(16'000, 1'700);
  printFigure("decision_p99_growth_50_to_16000", large / small, "ratio");
  printFigure("decision_p99_growth_1000_to_16000", large / middle, "ratio");
  constexpr double PeakStarts = 1'700;
  printFigure("record_bytes_delegated", recordBytesPerSecond(false, PeakStarts),
              "bytes/s");
  printFigure("record_bytes_durable_starts",
              recordBytesPerSecond(true, PeakStarts), "bytes/s");
  for (const std::uint64_t seed : {1U, 2U}) {
    for (const PolicyName policy :
         {PolicyName::FirstFit, PolicyName::Pack, PolicyName::Spread}) {
      printResult(bench::mondaySheets(seed), policy, seed);
      printResult(bench::nightlyRenders(seed), policy, seed);
    }
  }
  return 0;
}
