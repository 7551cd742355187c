#include "masticwinch/coordination/workflow/unauthenticated_calls.hpp"

#include <algorithm>

namespace masticwinch::workflow {

void UnauthenticatedCalls::count(const std::string &queue, bool hasKey) {
  if (Counts.size() >= MaxQueues && !Counts.contains(queue)) {
    return;
  }
  UnauthenticatedCounts &counts = Counts[queue];
  ++(hasKey ? counts.UnknownKey : counts.WithoutKey);
}

UnauthenticatedCalls::Report UnauthenticatedCalls::take(std::size_t most) {
  Report report(Counts.begin(), Counts.end());
  Counts.clear();
  std::stable_sort(report.begin(), report.end(),
                   [](const auto &a, const auto &b) {
                     return a.second.total() > b.second.total();
                   });
  report.resize(std::min(report.size(), most));
  return report;
}

} // namespace masticwinch::workflow
