#include "masticwinch/coordination/workflow/offer_policy.hpp"

namespace masticwinch::workflow {

void OfferPolicy::dropFirst() {
  Accepted -= Answers.front().Accepted ? 1 : 0;
  Answers.pop_front();
}

void OfferPolicy::expire(SteadyTime now) {
  while (!Answers.empty() && now - Answers.front().At > Options.Window) {
    dropFirst();
  }
}

void OfferPolicy::answered(protocol::WorkflowVerdict verdict, SteadyTime now) {
  expire(now);
  if (Answers.size() >= Options.MaxAnswers) {
    dropFirst();
  }
  const bool accepted = verdict == protocol::VERDICT_OK;
  Answers.push_back({now, accepted});
  Accepted += accepted ? 1 : 0;
}

bool OfferPolicy::applies(const protocol::WorkflowCall &call, SteadyTime now) {
  if (!call.has_submit() ||
      call.submit().payload().size() < Options.MinPayloadBytes) {
    return false;
  }
  expire(now);
  return Answers.size() >= Options.MinAnswers && Accepted * 2 <= Answers.size();
}

OfferOutcome offerOutcomeOf(protocol::WorkflowVerdict verdict) {
  switch (verdict) {
  case protocol::VERDICT_REFUSED:
    return OfferOutcome::Refused;
  case protocol::VERDICT_SEND_WHOLE:
    return OfferOutcome::SendWhole;
  case protocol::VERDICT_OK:
    return OfferOutcome::AcceptedBefore;
  default:
    return OfferOutcome::Other;
  }
}

void removePayload(protocol::WorkflowCall &call) {
  call.set_offer(true);
  call.set_payload_bytes(
      static_cast<std::uint32_t>(call.submit().payload().size()));
  call.mutable_submit()->clear_payload();
}

} // namespace masticwinch::workflow
