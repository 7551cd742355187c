#pragma once

#include "masticwinch/coordination/workflow/workflow_outcome.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace masticwinch::workflow {

/// Sums outcomes by queue and size. Holds at most `MaxQueues` queues; the
/// outcomes of further ones are not counted.
class OutcomeTotals {
public:
  static constexpr std::size_t MaxQueues = 64;
  /// Counts by outcome, in the order of the enumeration.
  using Counts =
      std::array<std::uint64_t, EnumNames<OutcomeKind>::Table.size()>;

  void add(const WorkflowOutcome &outcome);

  const std::map<std::pair<std::string, SizeClass>, Counts> &counts() const {
    return Totals;
  }

private:
  std::map<std::pair<std::string, SizeClass>, Counts> Totals;
};

} // namespace masticwinch::workflow
