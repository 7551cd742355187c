#include "masticwinch/coordination/requests/fair_queue.hpp"

#include <algorithm>

namespace masticwinch {

void FairQueue::push(const Flow &flow, RequestNumber number) {
  FlowState &state = Flows[flow.Name];
  if (state.Waiting.empty()) {
    state.Settings = flow;
    state.StartTag = std::max(state.StartTag, VirtualTime[flow.Urgent ? 1 : 0]);
  }
  state.Waiting.insert(number);
  FlowOfRequest[number] = flow.Name;
  UrgentCount += state.Settings.Urgent ? 1 : 0;
}

bool FairQueue::remove(RequestNumber number) {
  const auto found = FlowOfRequest.find(number);
  if (found == FlowOfRequest.end()) {
    return false;
  }
  erase(Flows.at(found->second), number);
  return true;
}

std::optional<RequestNumber> FairQueue::pop(const Eligible &eligible) {
  FlowState *urgent = firstEligible(true, eligible);
  if (urgent != nullptr && UrgentStreak + 1 < PatientInterval) {
    return takeFirst(*urgent);
  }
  if (FlowState *patient = firstEligible(false, eligible)) {
    return takeFirst(*patient);
  }
  if (urgent != nullptr) {
    return takeFirst(*urgent);
  }
  return std::nullopt;
}

std::size_t FairQueue::sizeOfFlow(const std::string &name) const {
  const auto found = Flows.find(name);
  return found == Flows.end() ? 0 : found->second.Waiting.size();
}

FairQueue::FlowState *FairQueue::firstEligible(bool urgent,
                                               const Eligible &eligible) {
  FlowState *best = nullptr;
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

RequestNumber FairQueue::takeFirst(FlowState &flow) {
  const RequestNumber number = *flow.Waiting.begin();
  const bool urgent = flow.Settings.Urgent;
  UrgentStreak = urgent && patientSize() > 0 ? UrgentStreak + 1 : 0;
  VirtualTime[urgent ? 1 : 0] = flow.StartTag;
  flow.StartTag += 1.0 / flow.Settings.Weight;
  erase(flow, number);
  return number;
}

void FairQueue::erase(FlowState &flow, RequestNumber number) {
  flow.Waiting.erase(number);
  FlowOfRequest.erase(number);
  UrgentCount -= flow.Settings.Urgent ? 1 : 0;
}

} // namespace masticwinch
