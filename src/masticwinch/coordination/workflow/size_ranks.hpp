#pragma once

#include "masticwinch/coordination/workflow/workflow_outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace masticwinch::workflow {

/// Ranks submissions by their work among the recent ones of their queue, so
/// that outcomes can be told apart by size whatever a queue's usual size is.
/// Holds at most `MaxQueues` queues; the submissions of others are not ranked.
class SizeRanks {
public:
  static constexpr std::size_t MaxQueues = 1024;
  /// Number of recent submissions that one is compared with.
  static constexpr std::size_t Window = 200;
  /// Submissions of a queue before the first one that is ranked.
  static constexpr std::size_t MinSubmissions = 10;

  /// Ranks a submission and adds it to the recent ones.
  SizeClass add(const std::string &queue, std::uint64_t coreMs);

  /// Ranks a submission that isn't added.
  SizeClass rank(const std::string &queue, std::uint64_t coreMs) const;

private:
  std::unordered_map<std::string, std::deque<std::uint64_t>> Recent;
};

} // namespace masticwinch::workflow
