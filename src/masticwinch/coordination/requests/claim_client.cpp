#include "masticwinch/coordination/requests/claim_client.hpp"

#include <utility>

namespace masticwinch {

ClaimClient::ClaimClient(EntryIncarnation self, Milliseconds resendAfter)
    : Self(std::move(self)), ResendAfter(resendAfter) {}

std::optional<protocol::ClaimBatch> ClaimClient::due(SteadyTime now) {
  if (!InFlight && Pending.empty()) {
    return std::nullopt;
  }
  if (InFlight && now < ResendAt) {
    return std::nullopt;
  }
  if (!InFlight) {
    InFlight.emplace();
    InFlight->set_entry(Self.Name);
    InFlight->set_incarnation(Self.Incarnation);
    InFlight->set_number(++LastNumber);
    std::size_t bytes = 0;
    for (std::size_t n = 0;
         n < MaxBatch && bytes < FullBatchBytes && !Pending.empty(); ++n) {
      bytes += Pending.front().ByteSizeLong();
      *InFlight->add_changes() = std::move(Pending.front());
      Pending.pop_front();
    }
  }
  ResendAt = now + ResendAfter;
  return InFlight;
}

void ClaimClient::deliveryFailed(std::uint64_t number) {
  if (InFlight && InFlight->number() == number) {
    ResendAt = SteadyTime{};
  }
}

bool ClaimClient::acknowledged(std::uint64_t number) {
  if (!InFlight || InFlight->number() != number) {
    return false;
  }
  InFlight.reset();
  return true;
}

} // namespace masticwinch
