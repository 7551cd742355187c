#include "masticwinch/coordination/requests/fair_queue.hpp"

#include <algorithm>

namespace masticwinch {

void FairQueue::push(const Flow &flow, RequestNumber number) {
  State &state = Flows[flow.Name];
  if (state.Waiting.empty()) {
    state.Settings = flow;
    state.StartTag = std::max(state.StartTag, VirtualTime[flow.Urgent ? 1 : 0]);
  }
  state.Waiting.insert(number);
  Where[number] = flow.Name;
  UrgentCount += state.Settings.Urgent ? 1 : 0;
}

bool FairQueue::remove(RequestNumber number) {
  const auto found = Where.find(number);
  if (found == Where.end()) {
    return false;
  }
  forget(Flows.at(found->second), number);
  return true;
}

std::optional<RequestNumber> FairQueue::pop(const Eligible &eligible) {
  State *urgent = firstEligible(true, eligible);
  if (urgent != nullptr && UrgentInRow + 1 < PatientInterval) {
    return take(*urgent);
  }
  if (State *patient = firstEligible(false, eligible)) {
    return take(*patient);
  }
  if (urgent != nullptr) {
    return take(*urgent);
  }
  return std::nullopt;
}

std::size_t FairQueue::sizeOfFlow(const std::string &name) const {
  const auto found = Flows.find(name);
  return found == Flows.end() ? 0 : found->second.Waiting.size();
}

FairQueue::State *FairQueue::firstEligible(bool urgent,
                                           const Eligible &eligible) {
  State *best = nullptr;
  for (auto &[name, it] : Flows) {
    if (it.Waiting.empty() || it.Settings.Urgent != urgent ||
        (best != nullptr && best->StartTag <= it.StartTag)) {
      continue;
    }
    if (eligible(it.Settings, *it.Waiting.begin())) {
      best = &it;
    }
  }
  return best;
}

RequestNumber FairQueue::take(State &flow) {
  const RequestNumber number = *flow.Waiting.begin();
  const bool urgent = flow.Settings.Urgent;
  UrgentInRow = urgent && patientSize() > 0 ? UrgentInRow + 1 : 0;
  VirtualTime[urgent ? 1 : 0] = flow.StartTag;
  flow.StartTag += 1.0 / flow.Settings.Weight;
  forget(flow, number);
  return number;
}

void FairQueue::forget(State &flow, RequestNumber number) {
  flow.Waiting.erase(number);
  Where.erase(number);
  UrgentCount -= flow.Settings.Urgent ? 1 : 0;
}

} // namespace masticwinch
