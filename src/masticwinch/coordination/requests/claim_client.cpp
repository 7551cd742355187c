#include "masticwinch/coordination/requests/claim_client.hpp"

#include <utility>

namespace masticwinch {

ClaimClient::ClaimClient(EntryIncarnation self, Milliseconds resendAfter)
    : Self(std::move(self)), ResendAfter(resendAfter) {}

std::optional<protocol::ClaimBatch> ClaimClient::due(SteadyTime now) {
  if (!Sent && Waiting.empty()) {
    return std::nullopt;
  }
  if (Sent && now < ResendAt) {
    return std::nullopt;
  }
  if (!Sent) {
    Sent.emplace();
    Sent->set_entry(Self.Name);
    Sent->set_incarnation(Self.Incarnation);
    Sent->set_number(++LastNumber);
    for (std::size_t n = 0; n < MaxBatch && !Waiting.empty(); ++n) {
      *Sent->add_changes() = std::move(Waiting.front());
      Waiting.pop_front();
    }
  }
  ResendAt = now + ResendAfter;
  return Sent;
}

void ClaimClient::deliveryFailed(std::uint64_t number) {
  if (Sent && Sent->number() == number) {
    ResendAt = SteadyTime{};
  }
}

bool ClaimClient::acknowledged(std::uint64_t number) {
  if (!Sent || Sent->number() != number) {
    return false;
  }
  Sent.reset();
  return true;
}

} // namespace masticwinch
