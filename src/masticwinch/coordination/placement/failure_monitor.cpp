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
  Next = (Next + 1) % Room;
  Count = std::min(Count + 1, Room);
  return true;
}

Milliseconds BackOff::next(const FailureSettings &settings) {
  constexpr std::uint32_t MostSteps = 16;
  const Milliseconds pause = settings.FirstPause * (std::int64_t{1} << Steps);
  Steps = std::min(Steps + 1, MostSteps);
  return std::min(pause, settings.LongestPause);
}

void FailureMonitor::succeeded(JobFailures &job, VmFailures &vm) const {
  job.FailedOn.clear();
  job.EverSucceeded = true;
  job.Pause.reset();
  vm.FailedJobs.clear();
  vm.Failures = 0;
  vm.Pause.reset();
  vm.OnTrial = false;
}

void FailureMonitor::failed(JobFailures &job, JobIndex jobId, VmFailures &vm,
                            WorkerIndex vmId, bool mayEject,
                            SteadyTime now) const {
  job.FailedOn.insert(vmId);
  const bool jobToBlame =
      !job.EverSucceeded && job.FailedOn.size() >= Settings.VmsToBackOff;
  if (jobToBlame) {
    job.HeldUntil = now + job.Pause.next(Settings);
    return;
  }
  // What was started before the ejection says nothing new about the VM.
  if (vm.EjectedUntil > now) {
    return;
  }
  const bool newJob = vm.FailedJobs.insert(jobId);
  vm.Failures += newJob || job.EverSucceeded ? 1 : 0;
  const bool vmToBlame = vm.Failures >= Settings.FailuresToEject || vm.OnTrial;
  if (vmToBlame && mayEject) {
    vm.EjectedUntil = now + vm.Pause.next(Settings);
    vm.OnTrial = true;
  }
}

} // namespace masticwinch::placement
