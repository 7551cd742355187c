#include "masticwinch/coordination/workflow/early_cancellations.hpp"

namespace masticwinch::workflow {

void EarlyCancellations::add(const std::string &id, const std::string &account,
                             SteadyTime now) {
  expire(now);
  Cancelled[id] = {account, now};
  ByTime.emplace_back(now, id);
}

bool EarlyCancellations::contains(const std::string &id,
                                  const std::string &account,
                                  SteadyTime now) const {
  const auto it = Cancelled.find(id);
  return it != Cancelled.end() && it->second.Account == account &&
         now - it->second.At <= Options.Retention;
}

void EarlyCancellations::expire(SteadyTime now) {
  while (!ByTime.empty() && (ByTime.size() >= Options.MaxIds ||
                             now - ByTime.front().first > Options.Retention)) {
    const auto &[at, id] = ByTime.front();
    const auto it = Cancelled.find(id);
    if (it != Cancelled.end() && it->second.At == at) {
      Cancelled.erase(it);
    }
    ByTime.pop_front();
  }
}

} // namespace masticwinch::workflow
