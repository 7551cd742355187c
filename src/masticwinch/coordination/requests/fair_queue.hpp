#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace masticwinch {

/// Waiting requests of one entry VM. Urgent flows go ahead of patient ones, but
/// one pick in `PatientInterval` goes to a patient flow if one waits. Flows of
/// one class share by weight (start-time fair queueing); a flow is served in
/// order of request numbers, so that a retried request goes in front.
class FairQueue {
public:
  /// Largest number of picks between two of patient flows that wait.
  static constexpr unsigned PatientInterval = 8;

  struct Flow {
    std::string Name;
    bool Urgent = false;
    unsigned Weight = 1;
  };

  /// Tells whether the first request of a flow could be dispatched now.
  using Eligible = std::function<bool(const Flow &, RequestNumber)>;

  void push(const Flow &flow, RequestNumber number);

  /// Takes out a request that waits; false if it doesn't.
  bool remove(RequestNumber number);

  /// Takes out the request that is next among the eligible ones.
  std::optional<RequestNumber> pop(const Eligible &eligible);

  std::size_t size() const { return FlowOfRequest.size(); }
  std::size_t sizeOfFlow(const std::string &name) const;
  std::size_t urgentSize() const { return UrgentCount; }
  std::size_t patientSize() const { return size() - UrgentCount; }

private:
  struct FlowState {
    Flow Settings;
    std::set<RequestNumber> Waiting;
    double StartTag = 0;
  };

  FlowState *firstEligible(bool urgent, const Eligible &eligible);
  RequestNumber takeFirst(FlowState &flow);
  void erase(FlowState &flow, RequestNumber number);

  std::map<std::string, FlowState> Flows;
  std::unordered_map<RequestNumber, std::string> FlowOfRequest;
  std::size_t UrgentCount = 0;
  unsigned UrgentStreak = 0;
  double VirtualTime[2] = {0, 0};
};

} // namespace masticwinch
