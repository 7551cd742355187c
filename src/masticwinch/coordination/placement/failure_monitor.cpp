#include "masticwinch/coordination/placement/failure_monitor.hpp"

#include <algorithm>

namespace masticwinch::placement {

bool RecentSet::contains(std::uint32_t value) const {
  const auto end = Values.begin() + Count;
  return std::find(Values.begin(), end, value) != end;
}

bool RecentSet::insert(std::uint32_t value) {
  if (contains(value)) {
    return false;
  }
  Values[Next] = value;
  Next = (Next + 1) % Capacity;
  Count = std::min(Count + 1, Capacity);
  return true;
}

Milliseconds BackOff::next(const FailureSettings &settings) {
  constexpr std::uint32_t MaxSteps = 16;
  const Milliseconds delay =
      settings.InitialBackOff * (std::int64_t{1} << Steps);
  Steps = std::min(Steps + 1, MaxSteps);
  return std::min(delay, settings.MaxBackOff);
}

void FailureMonitor::recordSuccess(JobFailures &job, VmFailures &vm) const {
  job.FailedOn.clear();
  job.EverSucceeded = true;
  job.RetryDelay.reset();
  vm.FailedJobs.clear();
  vm.Failures = 0;
  vm.EjectionTime.reset();
  vm.OnProbation = false;
}

void FailureMonitor::recordFailure(JobFailures &job, JobIndex jobId,
                                   VmFailures &vm, WorkerIndex vmId,
                                   bool mayEject, SteadyTime now) const {
  job.FailedOn.insert(vmId);
  const bool jobToBlame =
      !job.EverSucceeded && job.FailedOn.size() >= Settings.VmsToBackOff;
  if (jobToBlame) {
    job.HeldUntil = now + job.RetryDelay.next(Settings);
    return;
  }
  // Failures of tasks that started before the ejection carry no new information
  // about the VM.
  if (vm.EjectedUntil > now) {
    return;
  }
  const bool newJob = vm.FailedJobs.insert(jobId);
  vm.Failures += newJob || job.EverSucceeded ? 1 : 0;
  const bool vmToBlame =
      vm.Failures >= Settings.FailuresToEject || vm.OnProbation;
  if (vmToBlame && mayEject) {
    vm.EjectedUntil = now + vm.EjectionTime.next(Settings);
    vm.OnProbation = true;
  }
}

} // namespace masticwinch::placement
