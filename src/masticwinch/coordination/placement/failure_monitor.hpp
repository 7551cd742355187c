#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"

#include <array>
#include <cstdint>

namespace masticwinch::placement {

/// Limits for ejecting VMs and for delaying jobs after failures.
struct FailureSettings {
  /// Failures of different jobs, without a success in between, after which a VM
  /// is ejected.
  std::uint32_t FailuresToEject = 3;
  /// Number of VMs on which a job must fail, without any success, before its
  /// tasks are delayed.
  std::uint32_t VmsToBackOff = 3;
  Milliseconds InitialBackOff{5'000};
  Milliseconds MaxBackOff{600'000};
  /// Upper bound on the share of VMs that are ejected at the same time.
  std::int64_t MaxEjectedPercent = 10;
};

/// A small set of distinct values that evicts the oldest when full.
class RecentSet {
public:
  /// Returns whether the value was added.
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

/// Exponential back-off: the delay doubles with every call of `next`, up to a
/// maximum.
class BackOff {
public:
  Milliseconds next(const FailureSettings &settings);
  void reset() { Steps = 0; }

private:
  std::uint32_t Steps = 0;
};

/// Failure history of one job, over all VMs.
struct JobFailures {
  RecentSet FailedOn;
  bool EverSucceeded = false;
  BackOff RetryDelay;
  SteadyTime HeldUntil{};
};

/// Failure history of one VM, over all jobs.
struct VmFailures {
  RecentSet FailedJobs;
  std::uint32_t Failures = 0;
  BackOff EjectionTime;
  SteadyTime EjectedUntil{};
  /// Set by an ejection. Once that is over, the VM gets one task at a time
  /// until one succeeds.
  bool OnProbation = false;
};

/// Attributes failures to a VM or to a job. A failure counts against the job if
/// it failed on several VMs and succeeded on none, and against the VM if the
/// job succeeded elsewhere or did not fail on that many VMs.
class FailureMonitor {
public:
  explicit FailureMonitor(const FailureSettings &settings)
      : Settings(settings) {}

  void recordSuccess(JobFailures &job, VmFailures &vm) const;

  /// Records a failure. Sets `HeldUntil` of the job or `EjectedUntil` of the VM
  /// when the failure is attributed to it. `mayEject` says whether the limit on
  /// ejected VMs allows another ejection.
  void recordFailure(JobFailures &job, JobIndex jobId, VmFailures &vm,
                     WorkerIndex vmId, bool mayEject, SteadyTime now) const;

  const FailureSettings &settings() const { return Settings; }

private:
  FailureSettings Settings;
};

} // namespace masticwinch::placement
