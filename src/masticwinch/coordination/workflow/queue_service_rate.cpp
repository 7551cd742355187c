#include "masticwinch/coordination/workflow/queue_service_rate.hpp"

namespace masticwinch::workflow {

void QueueServiceRate::advance(Windows &windows, SteadyTime now) {
  const auto since = now - windows.CurrentBegan;
  if (since < Window) {
    return;
  }
  windows.Previous = since < 2 * Window ? windows.Current : 0;
  windows.CurrentBegan =
      since < 2 * Window ? windows.CurrentBegan + Window : now;
  windows.Current = 0;
}

void QueueServiceRate::add(const std::string &queue, std::uint64_t coreMs,
                           SteadyTime now) {
  auto it = Queues.find(queue);
  if (it == Queues.end()) {
    if (Queues.size() >= MaxQueues) {
      std::erase_if(Queues, [now](const auto &entry) {
        return now - entry.second.CurrentBegan >= 2 * Window;
      });
    }
    if (Queues.size() >= MaxQueues) {
      return;
    }
    it = Queues.emplace(queue, Windows{now, 0, 0}).first;
  }
  advance(it->second, now);
  it->second.Current += coreMs;
}

std::uint64_t QueueServiceRate::perSecond(const std::string &queue,
                                          SteadyTime now) const {
  const auto it = Queues.find(queue);
  if (it == Queues.end()) {
    return 0;
  }
  Windows windows = it->second;
  advance(windows, now);
  const auto measured = Window + std::chrono::duration_cast<Milliseconds>(
                                     now - windows.CurrentBegan);
  return (windows.Previous + windows.Current) * 1000 /
         std::uint64_t(measured.count());
}

} // namespace masticwinch::workflow
