#include "masticwinch/coordination/workflow/size_ranks.hpp"

#include <algorithm>

namespace masticwinch::workflow {

SizeClass SizeRanks::add(const std::string &queue, std::uint64_t coreMs) {
  const SizeClass size = rank(queue, coreMs);
  if (Recent.size() < MaxQueues || Recent.contains(queue)) {
    std::deque<std::uint64_t> &recent = Recent[queue];
    recent.push_back(coreMs);
    if (recent.size() > Window) {
      recent.pop_front();
    }
  }
  return size;
}

SizeClass SizeRanks::rank(const std::string &queue,
                          std::uint64_t coreMs) const {
  const auto it = Recent.find(queue);
  if (it == Recent.end() || it->second.size() < MinSubmissions) {
    return SizeClass::Rest;
  }
  const std::deque<std::uint64_t> &recent = it->second;
  const auto larger = static_cast<std::size_t>(
      std::count_if(recent.begin(), recent.end(),
                    [&](std::uint64_t other) { return other > coreMs; }));
  if (larger * 10 < recent.size()) {
    return SizeClass::LargestTenth;
  }
  return larger * 10 < recent.size() * 3 ? SizeClass::NextFifth
                                         : SizeClass::Rest;
}

} // namespace masticwinch::workflow
