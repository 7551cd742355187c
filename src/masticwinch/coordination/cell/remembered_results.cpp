#include "masticwinch/coordination/cell/remembered_results.hpp"

namespace masticwinch::cell {

const protocol::RememberedResult *
RememberedResults::find(const RequestKey &key) const {
  const auto it = Positions.find(key);
  return it == Positions.end() ? nullptr : &Results[it->second - Forgotten];
}

void RememberedResults::remember(protocol::RememberedResult result) {
  forgetOld(result.at_unix_ms());
  Positions[{result.author(), result.request_id()}] =
      Forgotten + Results.size();
  Results.push_back(std::move(result));
}

void RememberedResults::forgetOld(std::uint64_t nowMs) {
  while (!Results.empty() &&
         (Results.size() >= MaxResults ||
          Results.front().at_unix_ms() + WindowMs < nowMs)) {
    const protocol::RememberedResult &oldest = Results.front();
    Positions.erase({oldest.author(), oldest.request_id()});
    Results.pop_front();
    ++Forgotten;
  }
}

} // namespace masticwinch::cell
