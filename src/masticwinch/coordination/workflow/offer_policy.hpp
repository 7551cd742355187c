#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace masticwinch::workflow {

struct OfferPolicyOptions {
  /// Offers depend on the answers of this time.
  Milliseconds Window{1000};
  /// Below this number of answers, their outcomes say little, and whole
  /// submissions don't saturate the link.
  std::size_t MinAnswers = 8;
  /// Answers beyond this number push out the oldest ones.
  std::size_t MaxAnswers = 1024;
  /// A smaller payload is sent at once: leaving it out saves less than the
  /// further message costs.
  std::size_t MinPayloadBytes = 512;
};

/// Decides at one entry VM when a submission is sent as an offer: without its
/// payload, to learn whether it would be accepted. Offers are sent while at
/// least half of the latest submissions were not accepted, since their payloads
/// would fill the VM's link for nothing. State machine without I/O.
class OfferPolicy {
public:
  explicit OfferPolicy(OfferPolicyOptions options = {}) : Options(options) {}

  /// Records the final answer to a submission.
  void answered(protocol::WorkflowVerdict verdict, SteadyTime now);

  /// Whether this call is to be sent as an offer.
  bool applies(const protocol::WorkflowCall &call, SteadyTime now);

private:
  struct Answer {
    SteadyTime At{};
    bool Accepted = false;
  };

  void dropFirst();
  void expire(SteadyTime now);

  OfferPolicyOptions Options;
  std::deque<Answer> Answers;
  /// Number of `Answers` that accepted the submission.
  std::size_t Accepted = 0;
};

/// How the leader answered an offer.
enum class OfferOutcome : std::uint8_t {
  Refused,
  /// The whole submission was asked for.
  SendWhole,
  /// The submission had been accepted before.
  AcceptedBefore,
  /// The submission is invalid, for example.
  Other,
};

OfferOutcome offerOutcomeOf(protocol::WorkflowVerdict verdict);

/// Makes an offer of a whole submission.
void removePayload(protocol::WorkflowCall &call);

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::OfferOutcome> {
  using Outcome = workflow::OfferOutcome;
  static constexpr std::array Table{
      EnumName<Outcome>{Outcome::Refused, "refused"},
      EnumName<Outcome>{Outcome::SendWhole, "send_whole"},
      EnumName<Outcome>{Outcome::AcceptedBefore, "accepted_before"},
      EnumName<Outcome>{Outcome::Other, "other"}};
};

} // namespace masticwinch
