#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace masticwinch::workflow {

/// What the workflows of one queue got since the last report.
struct QueueCounts {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  /// Tasks assigned to a runner.
  std::uint64_t Assigned = 0;
};

/// Counts by queue what was accepted, refused and assigned, so that a queue
/// that gets nothing beside others is seen. Holds at most `MaxQueues` queues
/// between two reports; further ones are not counted.
class QueueTally {
public:
  static constexpr std::size_t MaxQueues = 1024;

  void accepted(const std::string &queue);
  void refused(const std::string &queue);
  void assigned(const std::string &queue);

  /// Returns the counts since the last call.
  std::map<std::string, QueueCounts> take();

private:
  QueueCounts *countsOf(const std::string &queue);

  std::map<std::string, QueueCounts> Counts;
};

} // namespace masticwinch::workflow
