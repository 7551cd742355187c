#include "masticwinch/coordination/workflow/gang_claims.hpp"

namespace masticwinch::workflow {

std::size_t GangClaim::placeCount() const {
  std::size_t count = 0;
  for (const auto &[runner, places] : Places) {
    count += places;
  }
  return count;
}

std::int64_t GangClaim::milliProcessors() const {
  return std::int64_t(placeCount()) * Needs.MilliProcessors;
}

const GangClaim *GangClaims::find(const StepKey &step) const {
  const auto it = Claims.find(step);
  return it == Claims.end() ? nullptr : &it->second;
}

void GangClaims::update(const StepKey &step, const ResourceAmounts &needs,
                        std::map<std::string, std::size_t> places,
                        SteadyTime now, std::optional<SteadyTime> readyAt) {
  if (places.empty()) {
    remove(step, ClaimEnd::Empty);
    return;
  }
  const auto [it, added] = Claims.try_emplace(step);
  if (added) {
    it->second.Since = now;
  }
  it->second.ReadyAt = readyAt;
  it->second.Needs = needs;
  it->second.Places = std::move(places);
  Updated.insert(step);
}

void GangClaims::remove(const StepKey &step, ClaimEnd end) {
  auto claim = Claims.extract(step);
  if (!claim.empty()) {
    Ended.push_back({step, std::move(claim.mapped()), end});
  }
}

void GangClaims::beginPass(const std::function<bool(const StepKey &)> &waits) {
  std::vector<StepKey> ended;
  for (const auto &[step, claim] : Claims) {
    if (!Updated.contains(step) || !waits(step)) {
      ended.push_back(step);
    }
  }
  for (const StepKey &it : ended) {
    remove(it, ClaimEnd::NotTried);
  }
  Updated.clear();
}

void GangClaims::reduce(
    const std::function<std::size_t(
        const std::string &, const ResourceAmounts &, std::size_t)> &keep) {
  for (auto &[step, claim] : Claims) {
    for (auto &[runner, places] : claim.Places) {
      places = keep(runner, claim.Needs, places);
    }
  }
}

} // namespace masticwinch::workflow
