#include "masticwinch/coordination/workflow/outcome_totals.hpp"

namespace masticwinch::workflow {

void OutcomeTotals::add(const WorkflowOutcome &outcome) {
  constexpr std::size_t MaxEntries =
      MaxQueues * EnumNames<SizeClass>::Table.size();
  const std::pair key(outcome.Queue, outcome.Size);
  if (Totals.size() < MaxEntries || Totals.contains(key)) {
    ++Totals[key][static_cast<std::size_t>(outcome.Kind)];
  }
}

} // namespace masticwinch::workflow
