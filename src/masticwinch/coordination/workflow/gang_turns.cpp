#include "masticwinch/coordination/workflow/gang_turns.hpp"

#include <algorithm>

namespace masticwinch::workflow {

void GangTurns::update(std::vector<GangTurnRequest> requests,
                       std::size_t runners,
                       const std::function<bool(const StepKey &)> &waits,
                       SteadyTime now) {
  std::erase_if(Pauses, [&](const auto &it) {
    return now - it.second >= Options.Pause || !waits(it.first);
  });
  std::erase_if(Turns, [&](const auto &it) {
    const bool expired = now - it.second >= Options.MaxTurn;
    if (expired && waits(it.first)) {
      Pauses[it.first] = now;
    }
    return expired || !waits(it.first);
  });
  std::erase_if(requests, [&](const GangTurnRequest &it) {
    return Turns.contains(it.Step) || Pauses.contains(it.Step);
  });
  std::stable_sort(requests.begin(), requests.end(),
                   [](const GangTurnRequest &a, const GangTurnRequest &b) {
                     return a.Slack > b.Slack;
                   });
  const std::size_t most =
      std::min(runners / Options.RunnersPerTurn,
               (requests.size() + Turns.size()) / Options.GangsPerTurn);
  const std::size_t given =
      std::min(requests.size(), most > Turns.size() ? most - Turns.size() : 0);
  for (std::size_t i = 0; i < given; ++i) {
    Turns.emplace(requests[i].Step, now);
  }
  Waiting = requests.size() - given;
}

} // namespace masticwinch::workflow
