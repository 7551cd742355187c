#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <string>

namespace masticwinch::workflow {

/// Whether the runners of a pool that are known could run a workflow if they
/// had nothing else to do.
enum class PoolFit {
  Fits,
  /// A task of a step needs more than any runner has.
  TaskTooLarge,
  /// The tasks of a gang have no room at the same time.
  GangTooWide,
  /// A task, or a gang, needs more than its account may use at the same time.
  OverAccountLimit
};

/// Compares each step with the cap of its account and with the capacities of
/// the pool's runners. A pool without known runners fits everything: their
/// heartbeats may not have come yet.
PoolFit
fitOf(const protocol::WorkflowSpec &spec, const RunnerRegistry &registry,
      const std::string &pool,
      const protocol::Amounts &cap = protocol::Amounts::default_instance());

/// How many tasks of the step a runner with these resources has room for, no
/// more than may share a runner.
std::size_t placesOf(const protocol::StepSpec &step,
                     const ResourceAmounts &available);

} // namespace masticwinch::workflow

namespace masticwinch {

/// The reason that a refused caller gets.
template <> struct EnumNames<workflow::PoolFit> {
  using PoolFit = workflow::PoolFit;
  static constexpr std::array Table{
      EnumName<PoolFit>{PoolFit::Fits, "fits"},
      EnumName<PoolFit>{PoolFit::TaskTooLarge, "larger than every runner"},
      EnumName<PoolFit>{PoolFit::GangTooWide, "wider than the pool"},
      EnumName<PoolFit>{PoolFit::OverAccountLimit,
                        "wider than its account's limit"}};
};

} // namespace masticwinch
