#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/common/saturating.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// State of a workflow.
enum class Phase : std::uint8_t {
  /// Accepted; no task has started.
  Queued,
  Running,
  /// All tasks are done.
  Completed,
  /// A task or gang has used up the attempts that its queue allows.
  Failed,
  Cancelled,
};

/// Whether no task of the workflow will be started any more.
constexpr bool isFinal(Phase phase) { return phase >= Phase::Completed; }

/// When an occurrence of a recurring workflow is due, in Unix milliseconds. One
/// whose time doesn't fit is never due.
inline std::uint64_t dueUnixMs(const protocol::WorkflowSpec &spec,
                               std::uint32_t occurrence) {
  return saturatingAdd(spec.first_at_unix_ms(),
                       saturatingMultiply(occurrence, spec.interval_ms()));
}

/// More memory than this, in MB, counts as this much, so that it and sums of it
/// fit. No runner has it.
inline constexpr std::uint64_t MaxMemoryMb = std::uint64_t(1) << 40;

/// Resources of a runner or a task, in the smallest units. Signed, so that
/// overcommitted resources show as negative.
struct ResourceAmounts {
  std::int64_t MilliProcessors = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  bool operator==(const ResourceAmounts &) const = default;

  /// Whether `need` fits into these resources.
  bool canFit(const ResourceAmounts &need) const {
    return need.MilliProcessors <= MilliProcessors &&
           need.MemoryMb <= MemoryMb && need.Accelerators <= Accelerators;
  }

  ResourceAmounts &operator+=(const ResourceAmounts &other) {
    MilliProcessors += other.MilliProcessors;
    MemoryMb += other.MemoryMb;
    Accelerators += other.Accelerators;
    return *this;
  }

  ResourceAmounts &operator-=(const ResourceAmounts &other) {
    MilliProcessors -= other.MilliProcessors;
    MemoryMb -= other.MemoryMb;
    Accelerators -= other.Accelerators;
    return *this;
  }
};

inline ResourceAmounts amountsOf(const protocol::Amounts &amounts) {
  return {std::int64_t(amounts.milli_processors()),
          std::int64_t(std::min(amounts.memory_mb(), MaxMemoryMb)),
          std::int64_t(amounts.accelerators())};
}

/// Resources that a task of the step reserves on its runner. A filler uses
/// processors that other tasks leave idle, so it reserves none.
inline ResourceAmounts needsOf(const protocol::StepSpec &step) {
  ResourceAmounts needs = amountsOf(step.needs());
  if (step.filler()) {
    needs.MilliProcessors = 0;
  }
  return needs;
}

/// A task is given up when this many runners have crashed right after it
/// started, or this many while it ran.
inline constexpr std::uint32_t MaxSuspectedCrashes = 2;
inline constexpr std::uint32_t MaxCrashes = 3;

/// A run whose runner was lost for a reason that is not known yet.
struct Exposure {
  std::string Runner;
  std::uint64_t BornUnixMs = 0;
  /// The run started just before, so it may be the cause.
  bool Suspected = false;
  /// It had run for long.
  bool Stable = false;
};

/// One task of an occurrence.
struct Task {
  bool Done = false;
  /// Number of the latest run; 0 before the first.
  std::uint32_t Run = 0;
  std::uint32_t Failures = 0;
  /// Runner that the latest run is assigned to and may still run on; empty if
  /// none.
  std::string Runner;
  std::string Checkpoint;
  /// Runners that crashed under the task, and those of which it was suspected.
  std::uint32_t Crashes = 0;
  std::uint32_t SuspectedCrashes = 0;
  std::vector<Exposure> Exposures;

  /// Whether the task may be the cause of a crash.
  bool isSuspect() const {
    return SuspectedCrashes > 0 || Crashes + 1 >= MaxCrashes;
  }
};

struct Step {
  std::vector<Task> Tasks;
  /// For a gang: number of runs in which a member failed, and the latest such
  /// run.
  std::uint32_t GangFailures = 0;
  std::uint32_t LastFailedRun = 0;
  /// Number of tasks that are not done; derived from Tasks.
  std::uint32_t TasksLeft = 0;
};

struct Occurrence {
  std::uint32_t Number = 0;
  std::vector<Step> Steps;
};

struct Workflow {
  protocol::WorkflowSpec Spec;
  /// Name of the client account that it belongs to; empty if there is none.
  std::string Account;
  std::uint64_t AcceptedAtUnixMs = 0;
  std::uint32_t MaxAttempts = 1;
  Phase CurrentPhase = Phase::Queued;
  /// A runner has begun a run: it had confirmed that, or it listed the end. Not
  /// set by the assignment alone, nor by the end of a lease, since the order
  /// may never have arrived.
  bool Started = false;
  std::uint32_t OccurrencesBegun = 0;
  std::uint32_t OccurrencesDone = 0;
  /// Occurrences that are begun and not done. Once the workflow has ended:
  /// those of which a runner may still have a task.
  std::vector<Occurrence> Occurrences;

  std::uint32_t occurrenceCount() const {
    return Spec.repeats() == 0 ? 1 : Spec.repeats();
  }

  Occurrence *find(std::uint32_t number);
  const Occurrence *find(std::uint32_t number) const;
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::Phase> {
  using Phase = workflow::Phase;
  static constexpr std::array Table{
      EnumName<Phase>{Phase::Queued, "queued"},
      EnumName<Phase>{Phase::Running, "running"},
      EnumName<Phase>{Phase::Completed, "completed"},
      EnumName<Phase>{Phase::Failed, "failed"},
      EnumName<Phase>{Phase::Cancelled, "cancelled"}};
};

} // namespace masticwinch
