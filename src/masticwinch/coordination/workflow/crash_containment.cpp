#include "masticwinch/coordination/workflow/crash_containment.hpp"

#include <algorithm>

namespace masticwinch::workflow {

void CrashContainment::lost(LostRunner runner, SteadyTime now) {
  if (Losses.empty()) {
    FirstLossAt = now;
  }
  Losses.push_back(std::move(runner));
}

/// Whether the run started just before the runner was lost, and was among the
/// last to do so.
bool CrashContainment::isRecent(const ExposedRun &run,
                                const LostRunner &runner) const {
  if (!run.Age || *run.Age > Options.SuspectAge) {
    return false;
  }
  return std::none_of(
      runner.Runs.begin(), runner.Runs.end(), [&](const ExposedRun &it) {
        return it.Age && *it.Age + Options.SuspectSpread < *run.Age;
      });
}

bool CrashContainment::isSuspected(const ExposedRun &run,
                                   const LostRunner &runner) const {
  if (!isRecent(run, runner) || Losses.size() < Options.MassLoss) {
    return isRecent(run, runner);
  }
  const auto startedOn = static_cast<std::size_t>(
      std::count_if(Losses.begin(), Losses.end(), [&](const LostRunner &it) {
        return std::any_of(it.Runs.begin(), it.Runs.end(),
                           [&](const ExposedRun &other) {
                             return other.Run.Task.Step == run.Run.Task.Step &&
                                    isRecent(other, it);
                           });
      }));
  return startedOn * 2 >= Losses.size();
}

std::vector<CrashContainment::Judgement> CrashContainment::judge(SteadyTime now,
                                                                 bool all) {
  std::vector<Judgement> judged;
  if (Losses.empty() || (!all && now - FirstLossAt < Options.JudgeAfter)) {
    return judged;
  }
  for (const LostRunner &runner : Losses) {
    Judgement &judgement = judged.emplace_back();
    judgement.Disconnected = runner.Disconnected;
    protocol::ExposeRuns &change = judgement.Change;
    change.set_runner(runner.Life.Id);
    change.set_born_unix_ms(runner.Life.BornUnixMs);
    for (const ExposedRun &it : runner.Runs) {
      protocol::ExposedRun *run = change.add_runs();
      *run->mutable_task() = refOf(it.Run.Task);
      run->set_run(it.Run.Run);
      run->set_suspected(isSuspected(it, runner));
      run->set_stable(it.Age && *it.Age >= Options.StableAge);
    }
  }
  Losses.clear();
  return judged;
}

void CrashContainment::recordSuspect(const std::string &queue, SteadyTime now) {
  std::deque<SteadyTime> &times = Suspicions[queue];
  times.push_back(now);
  if (times.size() > Options.ProbationCrashes) {
    times.pop_front();
  }
}

bool CrashContainment::isOnProbation(const std::string &queue,
                                     SteadyTime now) const {
  const auto found = Suspicions.find(queue);
  return found != Suspicions.end() &&
         found->second.size() >= Options.ProbationCrashes &&
         now - found->second.front() <= Options.ProbationWindow;
}

bool CrashContainment::anyOnProbation(SteadyTime now) const {
  return std::any_of(Suspicions.begin(), Suspicions.end(), [&](const auto &it) {
    return isOnProbation(it.first, now);
  });
}

std::set<std::string>
CrashContainment::queuesOnProbation(SteadyTime now) const {
  std::set<std::string> queues;
  for (const auto &[queue, times] : Suspicions) {
    if (isOnProbation(queue, now)) {
      queues.insert(queue);
    }
  }
  return queues;
}

bool CrashContainment::mustWait(const Task &task, SteadyTime lostAt,
                                SteadyTime now) const {
  const std::size_t fates = task.Crashes + task.Exposures.size();
  if (task.Exposures.empty() || fates < 2) {
    return false;
  }
  return fates >= Options.MaxUnknownFates || now - lostAt < Options.FateWait;
}

} // namespace masticwinch::workflow
