#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace masticwinch::workflow {

/// Measures how much work of each queue is started, over the last two to four
/// seconds. Holds at most `MaxQueues` queues; the rate of others is 0.
class QueueServiceRate {
public:
  static constexpr std::size_t MaxQueues = 1024;
  static constexpr Milliseconds Window{2000};

  void add(const std::string &queue, std::uint64_t coreMs, SteadyTime now);

  /// Core-milliseconds a second.
  std::uint64_t perSecond(const std::string &queue, SteadyTime now) const;

private:
  struct Windows {
    SteadyTime CurrentBegan{};
    std::uint64_t Current = 0;
    std::uint64_t Previous = 0;
  };

  static void advance(Windows &windows, SteadyTime now);

  std::unordered_map<std::string, Windows> Queues;
};

} // namespace masticwinch::workflow
