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

/// Queue of the waiting requests of one entry VM. Urgent flows have priority
/// over patient flows, but if patient requests wait, at least one in
/// `PatientInterval` picks is patient. Flows of the same class are scheduled by
/// weight (start-time fair queueing). The requests of a flow are served in the
/// order of their numbers, so retried requests go first.
class FairQueue {
public:
  /// While patient requests wait, at least one in this many picks is patient.
  static constexpr unsigned PatientInterval = 8;

  struct Flow {
    std::string Name;
    bool Urgent = false;
    unsigned Weight = 1;
  };

  /// Returns whether the first request of a flow can be dispatched now.
  using Eligible = std::function<bool(const Flow &, RequestNumber)>;

  void push(const Flow &flow, RequestNumber number);

  /// Removes a waiting request; returns false if it isn't in the queue.
  bool remove(RequestNumber number);

  /// Removes and returns the next eligible request.
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
