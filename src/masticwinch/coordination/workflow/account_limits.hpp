#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// Number of tasks that no cap limits.
inline constexpr std::size_t AnyNumber =
    std::numeric_limits<std::size_t>::max();

/// Whether the cap of a client account limits any resource; 0 is no limit.
bool isLimited(const protocol::Amounts &cap);

/// These needs, as often as there are tasks, of the resources that the cap
/// limits.
ResourceAmounts limitedNeeds(const protocol::Amounts &cap,
                             const ResourceAmounts &needs, std::size_t tasks);

/// How many more tasks with these needs an account may start that uses `used`
/// already. A resource that a task does not need does not keep it from
/// starting, also if the account uses more of it than a lowered cap allows.
std::size_t tasksBelowCap(const protocol::Amounts &cap,
                          const ResourceAmounts &used,
                          const ResourceAmounts &needs);

/// How many of `tasks` tasks of a step may start below the cap; of a gang all
/// or none.
std::size_t startableBelowCap(const protocol::Amounts &cap,
                              const ResourceAmounts &used,
                              const protocol::StepSpec &step,
                              std::size_t tasks);

/// Whether each task, and each gang as a whole, fits below the cap of an
/// account that uses nothing else.
bool canEverFit(const protocol::WorkflowSpec &spec,
                const protocol::Amounts &cap);

/// The least number of rounds in which all tasks of a step can run below the
/// cap; 1 for a gang. Tasks that are larger than the cap count as one in each
/// round.
std::uint64_t wavesOf(const protocol::StepSpec &step,
                      const protocol::Amounts &cap);

/// Time on the whole cap of an account, in microseconds, of its processors,
/// memory and accelerators. Steps of a few tasks take less than a millisecond
/// of a large cap.
using MicrosOnCap = std::array<std::uint64_t, 3>;

/// How long these tasks of a step take the whole cap; 0 where there is no
/// limit.
MicrosOnCap microsOnCap(const protocol::StepSpec &step, std::size_t tasks,
                        const protocol::Amounts &cap);

/// The longest time of the resources that the workflow needs.
std::uint64_t longestOf(const MicrosOnCap &micros,
                        const protocol::WorkflowSpec &spec);

/// A waiting step of an account with a cap.
struct WaitingStep {
  const StepKey *Key = nullptr;
  ResourceAmounts Needs;
  std::size_t Tasks = 0;
  bool Gang = false;
  /// It can't complete within its objective.
  bool Late = false;
};

/// Selects the waiting steps that a scheduling pass tries, so that an account
/// with more work than its cap allows takes no places of other accounts' steps:
/// those that the cap has room for, in rank order. Gangs and other steps, late
/// ones and those that can be on time each have the whole room, since steps of
/// one kind often find no runners while the others do. For the same reason a
/// few of the remaining steps are selected as well, in turn over several
/// passes.
class CappedSteps {
public:
  /// Returns the positions of the selected ones of an account's steps, which
  /// are in rank order, in ascending order.
  std::vector<std::size_t> select(const std::string &account,
                                  const protocol::Amounts &cap,
                                  const ResourceAmounts &used,
                                  const std::vector<WaitingStep> &steps);

  /// Ends a pass: forgets the accounts of which nothing was left out in it.
  void endPass();

private:
  /// The last step that was selected in turn, by account; of the previous pass
  /// and of this one.
  std::map<std::string, StepKey> LastInTurn;
  std::map<std::string, StepKey> NextLastInTurn;
};

} // namespace masticwinch::workflow
