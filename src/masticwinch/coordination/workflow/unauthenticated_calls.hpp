#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Calls of one queue that were refused for lack of a valid key.
struct UnauthenticatedCounts {
  std::uint64_t WithoutKey = 0;
  std::uint64_t UnknownKey = 0;

  std::uint64_t total() const { return WithoutKey + UnknownKey; }
};

/// Counts by queue the calls that were refused for lack of a valid key. Knows
/// no keys. Holds at most `MaxQueues` queues between two reports; calls of
/// further ones are not counted.
class UnauthenticatedCalls {
public:
  static constexpr std::size_t MaxQueues = 1024;
  using Report = std::vector<std::pair<std::string, UnauthenticatedCounts>>;

  void count(const std::string &queue, bool hasKey);

  /// Returns the counts since the last call, of the `most` queues with the
  /// largest sums, largest first.
  Report take(std::size_t most);

private:
  std::map<std::string, UnauthenticatedCounts> Counts;
};

} // namespace masticwinch::workflow
