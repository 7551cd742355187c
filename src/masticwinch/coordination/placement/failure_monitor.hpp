#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"

#include <array>
#include <cstdint>

namespace masticwinch::placement {

/// Bounds of ejecting workers and holding back jobs.
struct FailureSettings {
  /// Failures of different jobs, without a success between, that eject a VM.
  std::uint32_t FailuresToEject = 3;
  /// VMs on which a job failed, without a success, that hold the job back.
  std::uint32_t VmsToBackOff = 3;
  Milliseconds InitialBackOff{5'000};
  Milliseconds MaxBackOff{600'000};
  /// No more than this share of the VMs is ejected at a time.
  std::int64_t MaxEjectedPercent = 10;
};

/// A few different numbers; forgets the oldest when full.
class RecentSet {
public:
  /// Returns whether the number was new.
  bool insert(std::uint32_t value);
  bool contains(std::uint32_t value) const;
  std::uint32_t size() const { return Count; }
  void clear() { Count = Next = 0; }

private:
  static constexpr std::uint32_t Capacity = 4;
  std::array<std::uint32_t, Capacity> Values{};
  std::uint32_t Count = 0;
  std::uint32_t Next = 0;
};

/// Doubles with every use, up to a limit.
class BackOff {
public:
  Milliseconds next(const FailureSettings &settings);
  void reset() { Steps = 0; }

private:
  std::uint32_t Steps = 0;
};

/// How the tasks of one job fared, over all VMs.
struct JobFailures {
  RecentSet FailedOn;
  bool EverSucceeded = false;
  BackOff RetryDelay;
  SteadyTime HeldUntil{};
};

/// How the jobs on one VM fared.
struct VmFailures {
  RecentSet FailedJobs;
  std::uint32_t Failures = 0;
  BackOff EjectionTime;
  SteadyTime EjectedUntil{};
  /// Back from ejection and allowed one task at a time until one succeeds.
  bool OnProbation = false;
};

/// Tells a bad VM from a bad job: a failure speaks against the VM if the job
/// succeeded elsewhere or failed nowhere else, and against the job if it failed
/// on several VMs and succeeded on none.
class FailureMonitor {
public:
  explicit FailureMonitor(const FailureSettings &settings)
      : Settings(settings) {}

  void recordSuccess(JobFailures &job, VmFailures &vm) const;

  /// Takes in a failure; sets `HeldUntil` of the job or `EjectedUntil` of the
  /// VM when it is the one to blame. `mayEject` says whether the share of
  /// ejected VMs allows another.
  void recordFailure(JobFailures &job, JobIndex jobId, VmFailures &vm,
                     WorkerIndex vmId, bool mayEject, SteadyTime now) const;

  const FailureSettings &settings() const { return Settings; }

private:
  FailureSettings Settings;
};

} // namespace masticwinch::placement
