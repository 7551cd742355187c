#include "masticwinch/coordination/workflow/pool_fit.hpp"

#include "masticwinch/coordination/workflow/account_limits.hpp"
#include "masticwinch/coordination/workflow/gang_forecast.hpp"

#include <algorithm>
#include <vector>

namespace masticwinch::workflow {

std::size_t placesOf(const protocol::StepSpec &step,
                     const ResourceAmounts &available) {
  const std::size_t places = countFitting(available, needsOf(step));
  return step.max_per_runner() > 0
             ? std::min<std::size_t>(places, step.max_per_runner())
             : places;
}

PoolFit fitOf(const protocol::WorkflowSpec &spec,
              const RunnerRegistry &registry, const std::string &pool,
              const protocol::Amounts &cap) {
  if (!canEverFit(spec, cap)) {
    return PoolFit::OverAccountLimit;
  }
  bool any = false;
  std::vector<std::size_t> places(std::size_t(spec.steps_size()), 0);
  for (const auto &[id, runner] : registry.runners()) {
    if (runner.Gone || runner.Info.pool() != pool) {
      continue;
    }
    any = true;
    const ResourceAmounts whole = amountsOf(runner.Info.capacity());
    for (int i = 0; i < spec.steps_size(); ++i) {
      places[std::size_t(i)] += placesOf(spec.steps(i), whole);
    }
  }
  for (int i = 0; any && i < spec.steps_size(); ++i) {
    const protocol::StepSpec &step = spec.steps(i);
    if (places[std::size_t(i)] == 0) {
      return PoolFit::TaskTooLarge;
    }
    if (step.gang() && places[std::size_t(i)] < step.count()) {
      return PoolFit::GangTooWide;
    }
  }
  return PoolFit::Fits;
}

} // namespace masticwinch::workflow
