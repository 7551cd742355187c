#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticwinch::workflow {

struct CrashContainmentOptions {
  /// Runners that are lost within this time of each other are judged together.
  Milliseconds JudgeAfter{60};
  /// A run is suspected if it started at most this long before its runner was
  /// lost, and at most `SuspectSpread` before the last one that started there.
  Milliseconds SuspectAge{250};
  Milliseconds SuspectSpread{15};
  /// If so many runners are lost together, only steps that had just started on
  /// at least half of them are suspected: the cause is elsewhere.
  std::size_t MassLoss = 4;
  /// A queue is on probation while its tasks are suspected of so many crashes
  /// within `ProbationWindow`.
  std::size_t ProbationCrashes = 3;
  Milliseconds ProbationWindow{10'000};
  /// Share of the runners, in thousandths, for the tasks of queues on
  /// probation, and share for tasks that are suspects themselves.
  std::uint64_t ProbationPermille = 250;
  /// No runners are kept apart if the share for queues on probation would be
  /// fewer than this.
  std::size_t MinProbationRunners = 2;
  std::uint64_t IsolationPermille = 125;
  /// The share for queues on probation while more than `IdlePermille` of the
  /// processors are free: there is little beside them to lose.
  std::uint64_t IdleProbationPermille = 500;
  std::int64_t IdlePermille = 500;
  /// Minimum time between starts of different steps of queues on probation on
  /// the same runner, so that a crash is blamed on the right one.
  Milliseconds ProbationSpacing{50};
  /// A suspect that could not be isolated for this long runs anywhere.
  Milliseconds IsolationPatience{6000};
  /// How long a task waits for the fate of lost runners after it was exposed on
  /// two of them or to two crashes. Longer than a runner takes to start again.
  Milliseconds FateWait{8000};
  /// Number of crashes and exposures at which it waits until all are known.
  std::size_t MaxUnknownFates = 4;
  /// A run that has lasted this long is stable.
  Milliseconds StableAge{10'000};
};

/// Finds out which runs may have crashed their runners, and which queues they
/// come from, so that the others are kept apart from them. Answers the load of
/// tasks that crash each runner that starts them: everything beside them is
/// lost with the runner. Pure, without I/O.
class CrashContainment {
public:
  explicit CrashContainment(CrashContainmentOptions options)
      : Options(options) {}

  /// Handles that a runner was lost.
  void lost(LostRunner runner, SteadyTime now);

  /// What is known of a lost runner.
  struct Judgement {
    protocol::ExposeRuns Change;
    bool Disconnected = false;
  };

  /// Judges the losses that have waited long enough, or all.
  std::vector<Judgement> judge(SteadyTime now, bool all = false);

  /// Records a crash of which a task of the queue is suspected.
  void recordSuspect(const std::string &queue, SteadyTime now);

  bool isOnProbation(const std::string &queue, SteadyTime now) const;
  bool anyOnProbation(SteadyTime now) const;
  std::set<std::string> queuesOnProbation(SteadyTime now) const;

  /// Whether the task has to wait for the fate of lost runners. `lostAt` is
  /// when its latest exposure became known.
  bool mustWait(const Task &task, SteadyTime lostAt, SteadyTime now) const;

  const CrashContainmentOptions &options() const { return Options; }

private:
  bool isRecent(const ExposedRun &run, const LostRunner &runner) const;
  bool isSuspected(const ExposedRun &run, const LostRunner &runner) const;

  CrashContainmentOptions Options;
  std::vector<LostRunner> Losses;
  SteadyTime FirstLossAt{};
  /// Times of the suspected crashes of each queue's tasks.
  std::map<std::string, std::deque<SteadyTime>> Suspicions;
};

} // namespace masticwinch::workflow
