#include "masticwinch/coordination/workflow/overdue_share.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/admission.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

constexpr std::int64_t MillionthsPerCoreMs = 1'000'000;
constexpr std::uint64_t MilliPerCore = 1000;

/// What a task without a stated duration counts as.
constexpr std::uint64_t UnstatedDurationMs = 1000;
/// What a task that goes on until it is cancelled counts as, at least.
constexpr std::uint64_t LongRunningMs = 10'000;
/// What a task counts as that needs memory or accelerators only.
constexpr std::uint64_t UnstatedMilliProcessors = 1000;
/// Bounds the cost of a task with an estimate of weeks.
constexpr std::uint64_t MaxCostCoreMs = 1'000'000'000;

} // namespace

std::uint64_t OverdueShare::costOf(const protocol::StepSpec &step) {
  std::uint64_t duration =
      step.estimate_ms() > 0 ? step.estimate_ms() : UnstatedDurationMs;
  if (step.long_running()) {
    duration = std::max(duration, LongRunningMs);
  }
  const std::uint64_t processors = step.needs().milli_processors() > 0
                                       ? step.needs().milli_processors()
                                       : UnstatedMilliProcessors;
  return std::clamp<std::uint64_t>(duration * processors / MilliPerCore, 1,
                                   MaxCostCoreMs);
}

void OverdueShare::accrue(const std::string &pool,
                          std::uint64_t milliProcessors, SteadyTime now) {
  const auto [it, added] = Pools.try_emplace(pool);
  Pool &entry = it->second;
  const Milliseconds since = std::min(
      Options.MaxUnused,
      added ? Options.MaxUnused
            : std::chrono::duration_cast<Milliseconds>(now - entry.AccruedAt));
  entry.AccruedAt = now;
  entry.LeftPerMs =
      std::int64_t(milliProcessors) * std::int64_t(Options.SharePermille);
  entry.Left = std::min(entry.LeftPerMs * Options.MaxUnused.count(),
                        entry.Left + entry.LeftPerMs * since.count());
}

bool OverdueShare::hasLeft(const std::string &pool) const {
  const auto it = Pools.find(pool);
  return it != Pools.end() && it->second.Left > 0;
}

void OverdueShare::spend(const std::string &pool, const std::string &queue,
                         std::uint64_t coreMs) {
  Pool &entry = Pools[pool];
  entry.Left =
      std::max(-entry.LeftPerMs * Options.MaxOverdrawn.count(),
               entry.Left - std::int64_t(coreMs) * MillionthsPerCoreMs);
  if (const auto it = entry.Queues.find(queue); it != entry.Queues.end()) {
    entry.VirtualTime = std::max(entry.VirtualTime, it->second.SpentCoreMs);
    it->second.SpentCoreMs += coreMs;
  }
}

void OverdueShare::setBacklogs(const std::string &pool,
                               const Backlogs &coreMsByQueue) {
  Pool &entry = Pools[pool];
  std::erase_if(entry.Queues, [&](const auto &it) {
    return !coreMsByQueue.contains(it.first);
  });
  for (const auto &[queue, coreMs] : coreMsByQueue) {
    entry.Queues.try_emplace(queue, QueueBacklog{0, entry.VirtualTime})
        .first->second.CoreMs = coreMs;
  }
}

std::uint64_t OverdueShare::spentBy(const std::string &pool,
                                    const std::string &queue) const {
  const auto entry = Pools.find(pool);
  if (entry == Pools.end()) {
    return 0;
  }
  const auto it = entry->second.Queues.find(queue);
  return it == entry->second.Queues.end() ? entry->second.VirtualTime
                                          : it->second.SpentCoreMs;
}

Milliseconds OverdueShare::drainTime(const std::string &pool,
                                     const std::string &queue,
                                     std::uint64_t perSecond) const {
  const auto entry = Pools.find(pool);
  if (entry == Pools.end() || !entry->second.Queues.contains(queue)) {
    return Milliseconds(0);
  }
  const auto &queues = entry->second.Queues;
  const auto sharePerSecond =
      std::uint64_t(entry->second.LeftPerMs * 1000 / MillionthsPerCoreMs);
  return processingTime(
      queues.at(queue).CoreMs,
      std::max<std::uint64_t>({perSecond, sharePerSecond / queues.size(), 1}));
}

std::uint64_t OverdueShare::workWithin(const std::string &pool,
                                       Milliseconds time) const {
  const auto entry = Pools.find(pool);
  if (entry == Pools.end()) {
    return 0;
  }
  std::uint64_t backlog = 0;
  for (const auto &[name, queue] : entry->second.Queues) {
    backlog = saturatingAdd(backlog, queue.CoreMs);
  }
  const auto share = saturatingMultiply(
      std::uint64_t(std::max<std::int64_t>(entry->second.LeftPerMs, 0)),
      std::uint64_t(std::max<std::int64_t>(time.count(), 0)));
  return std::min(backlog, share / std::uint64_t(MillionthsPerCoreMs));
}

} // namespace masticwinch::workflow
