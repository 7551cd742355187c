#include "masticwinch/coordination/requests/slot_holder.hpp"

#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch {
namespace {

std::uint32_t saturatingSubtract(std::uint32_t a, std::uint32_t b) {
  return a > b ? a - b : 0;
}

} // namespace

SlotHolder::SlotHolder(EntryIncarnation self, SlotTiming timing)
    : Self(std::move(self)), Timing(timing) {}

void SlotHolder::configure(const RequestConfig &config) {
  MaxDispatchTime = config.longestDeadline();
  for (auto &[name, held] : Upstreams) {
    held.Present = config.upstreams().contains(name);
  }
  for (const auto &[name, entry] : config.upstreams()) {
    HeldSlots &held = Upstreams[name];
    const std::string owner = ownerOf(name, config.entries());
    held.OwnerNotReady |= !held.Owner.empty() && held.Owner != owner;
    held.Owner = owner;
  }
  std::erase_if(Upstreams, [](const auto &it) {
    return !it.second.Present && it.second.InUse == 0;
  });
  std::erase_if(Owners, [&config](const auto &it) {
    return !config.entries().contains(it.first);
  });
  for (const auto &[name, member] : config.entries()) {
    Owners[name].InUse = 0;
  }
  for (const auto &[name, held] : Upstreams) {
    const auto owner = Owners.find(held.Owner);
    if (owner != Owners.end()) {
      owner->second.InUse += held.InUse;
    }
  }
}

/// The usage limit applies only while the owner has confirmed it recently.
bool SlotHolder::isAtUsageLimit(const Owner &owner, SteadyTime now) const {
  const bool current =
      owner.Answered || owner.SentAt + Timing.RenewalInterval > now;
  return current && owner.UsageLimit > 0 && owner.InUse >= owner.UsageLimit;
}

bool SlotHolder::hasFreeSlot(const std::string &upstream, bool patient,
                             SteadyTime now) const {
  const auto found = Upstreams.find(upstream);
  if (found == Upstreams.end()) {
    return false;
  }
  const HeldSlots &held = found->second;
  const auto owner = Owners.find(held.Owner);
  if (owner != Owners.end() && isAtUsageLimit(owner->second, now)) {
    return false;
  }
  return held.Present && held.Expiry > now && held.InUse < held.Slots &&
         (!patient || held.PatientInUse < held.Patient);
}

std::uint32_t SlotHolder::usableSlots(SteadyTime now) const {
  std::uint32_t sum = 0;
  for (const auto &[name, held] : Upstreams) {
    sum += held.Expiry > now ? held.Slots : held.InUse;
  }
  return sum;
}

Milliseconds SlotHolder::acquireSlot(const std::string &upstream,
                                     bool patient) {
  HeldSlots &held = Upstreams.at(upstream);
  held.InUse += 1;
  held.PatientInUse += patient ? 1 : 0;
  if (const auto owner = Owners.find(held.Owner); owner != Owners.end()) {
    owner->second.InUse += 1;
  }
  held.PeakInUse = std::max(held.PeakInUse, held.InUse);
  return held.MaxDispatchTime;
}

void SlotHolder::releaseSlot(const std::string &upstream, bool patient) {
  const auto found = Upstreams.find(upstream);
  if (found == Upstreams.end()) {
    return;
  }
  found->second.InUse = saturatingSubtract(found->second.InUse, 1);
  if (const auto owner = Owners.find(found->second.Owner);
      owner != Owners.end()) {
    owner->second.InUse = saturatingSubtract(owner->second.InUse, 1);
  }
  found->second.PatientInUse =
      saturatingSubtract(found->second.PatientInUse, patient ? 1 : 0);
}

std::uint32_t SlotHolder::inUse(const std::string &upstream) const {
  const auto found = Upstreams.find(upstream);
  return found == Upstreams.end() ? 0 : found->second.InUse;
}

std::uint32_t SlotHolder::idleSlots(const HeldSlots &held) {
  return saturatingSubtract(held.Slots, held.InUse);
}

/// Returns unused slots. A renewal keeps as many slots as were in use since the
/// last one. All slots are kept if the owner can't grant them again at present,
/// because it is silent or because it is new and still waits for the grants of
/// the previous owner to end. They may then be stated even after the end of the
/// lease, as long as they are reserved, but not used.
void SlotHolder::shrink(HeldSlots &held, const Owner &owner, bool keepPeakSlots,
                        SteadyTime now) {
  const bool keepAll = held.OwnerNotReady || !owner.Answered;
  const SteadyTime keepUntil = keepAll ? held.ReservedUntil : held.Expiry;
  const bool keep =
      (keepPeakSlots || keepAll) && held.Present && keepUntil > now;
  const std::uint32_t maxSlots = keepAll ? held.Slots : held.PeakInUse;
  const std::uint32_t wanted = keep ? maxSlots : held.InUse;
  held.Slots = std::max(held.InUse, std::min(held.Slots, wanted));
  held.Patient = keep ? std::min(held.Patient, held.Slots) : held.PatientInUse;
  held.PeakInUse = held.InUse;
  held.LeaseEnded = held.Expiry <= now;
}

protocol::SlotDemand SlotHolder::makeDemand(const std::string &owner,
                                            SlotShortage want, SteadyTime now) {
  Owner &state = Owners[owner];
  const bool keepPeakSlots = owner != Self.Name && !state.Contended;
  protocol::SlotDemand demand;
  for (auto &[name, held] : Upstreams) {
    if (held.Owner != owner || (!held.KnownToOwner && held.Slots == 0)) {
      continue;
    }
    shrink(held, state, keepPeakSlots, now);
    held.KnownToOwner = true;
    protocol::SlotHolding &out = *demand.add_holdings();
    out.set_upstream(name);
    out.set_slots(held.Slots);
    out.set_patient_slots(held.Patient);
    out.set_lease_ended(held.LeaseEnded);
  }
  state.Sequence += 1;
  state.Index = 0;
  state.SentAt = now;
  state.MaxDispatchTime = MaxDispatchTime;
  state.Requested = want;
  state.Answered = false;
  demand.set_sequence(state.Sequence);
  demand.set_want_urgent(want.Urgent);
  demand.set_want_patient(want.Patient);
  demand.set_horizon_ms(static_cast<std::uint32_t>(MaxDispatchTime.count()));
  return demand;
}

/// A waiting owner confirms slots without knowing who else has some. Slots that
/// were stated after the end of their lease may be used only if no previous
/// owner can have granted them to others: all of them stop granting while the
/// slots are still reserved for this entry VM.
bool SlotHolder::isSafeToUse(const HeldSlots &held,
                             const protocol::SlotHolding &granted,
                             SteadyTime now) {
  if (!granted.waiting() || !held.LeaseEnded) {
    return true;
  }
  return granted.has_previous_owner_ms() &&
         now + Milliseconds(granted.previous_owner_ms()) < held.ReservedUntil;
}

void SlotHolder::applyGrant(const std::string &owner,
                            const protocol::SlotGrant &grant, SteadyTime now) {
  const auto known = Owners.find(owner);
  if (known == Owners.end() || grant.holder_incarnation() != Self.Incarnation ||
      grant.sequence() != known->second.Sequence ||
      grant.index() <= known->second.Index) {
    return;
  }
  Owner &state = known->second;
  state.Index = grant.index();
  state.Answered = true;
  state.FreeSlots = grant.free_slots();
  state.Contended = grant.contended();
  state.UsageLimit = grant.share();
  for (auto &[name, held] : Upstreams) {
    held.KnownToOwner =
        held.KnownToOwner && (held.Owner != owner || held.Slots > 0);
  }
  for (const protocol::SlotHolding &it : grant.holdings()) {
    const auto found = Upstreams.find(it.upstream());
    if (found == Upstreams.end() || found->second.Owner != owner) {
      continue;
    }
    HeldSlots &held = found->second;
    if (!isSafeToUse(held, it, now)) {
      held.Slots = held.InUse;
      held.Patient = held.PatientInUse;
      held.OwnerNotReady = true;
      continue;
    }
    state.Requested.Urgent = saturatingSubtract(
        state.Requested.Urgent, saturatingSubtract(it.slots(), held.Slots));
    held.Slots = std::max(it.slots(), held.InUse);
    held.Patient = std::max(it.patient_slots(), held.PatientInUse);
    held.Expiry = state.SentAt + Milliseconds(grant.lease_ms());
    held.MaxDispatchTime = state.MaxDispatchTime;
    held.ReservedUntil = held.Expiry + held.MaxDispatchTime;
    held.KnownToOwner = true;
    held.OwnerNotReady = it.waiting();
  }
}

bool SlotHolder::holdsSlotsOf(const std::string &owner) const {
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &it) {
    return it.second.Owner == owner &&
           (it.second.KnownToOwner || it.second.Slots > 0);
  });
}

bool SlotHolder::hasIdleSlotsOf(const std::string &owner) const {
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &it) {
    return it.second.Owner == owner && !it.second.OwnerNotReady &&
           idleSlots(it.second) > 0;
  });
}

bool SlotHolder::isRenewalDue(const std::string &name, const Owner &owner,
                              SteadyTime now) const {
  return owner.SentAt + Timing.RenewalInterval <= now && holdsSlotsOf(name);
}

/// Limits a request to the number of slots that the owner is known to have
/// free, but asks for at least one.
SlotShortage SlotHolder::clampToFreeSlots(SlotShortage shortage,
                                          const Owner &owner) const {
  const std::uint32_t limit = std::max<std::uint32_t>(owner.FreeSlots, 1);
  SlotShortage request;
  request.Urgent = std::min(shortage.Urgent, limit);
  request.Patient = std::min(shortage.Patient, limit - request.Urgent);
  return request;
}

/// Whether to return idle slots now because other holders wait for them.
bool SlotHolder::shouldReturnSlots(const std::string &name, const Owner &owner,
                                   SlotShortage shortage,
                                   SteadyTime now) const {
  const bool notNeeded = !shortage.any() || isAtUsageLimit(owner, now);
  return owner.Contended && owner.Answered && notNeeded && hasIdleSlotsOf(name);
}

std::vector<PeerMessage> SlotHolder::dueDemands(SlotShortage shortage,
                                                SteadyTime now) {
  SlotShortage missing = shortage;
  std::vector<std::pair<std::uint32_t, std::string>> candidates;
  std::vector<std::pair<std::string, SlotShortage>> due;
  for (const auto &[name, owner] : Owners) {
    if (name == Self.Name) {
      continue;
    }
    const bool returnsSlots = shouldReturnSlots(name, owner, shortage, now);
    if (!returnsSlots && owner.Requested.any() &&
        owner.SentAt + Timing.RenewalInterval > now) {
      missing.Urgent =
          saturatingSubtract(missing.Urgent, owner.Requested.Urgent);
      missing.Patient =
          saturatingSubtract(missing.Patient, owner.Requested.Patient);
      continue;
    }
    if (owner.SentAt + Timing.DemandInterval > now && owner.Sequence > 0) {
      continue;
    }
    candidates.emplace_back(owner.FreeSlots, name);
  }
  std::sort(candidates.rbegin(), candidates.rend());
  for (const auto &[free, name] : candidates) {
    const Owner &owner = Owners.at(name);
    const SlotShortage request = clampToFreeSlots(missing, owner);
    const bool returnsSlots = shouldReturnSlots(name, owner, shortage, now);
    if (!request.any() && !returnsSlots && !isRenewalDue(name, owner, now)) {
      continue;
    }
    missing.Urgent -= request.Urgent;
    missing.Patient -= request.Patient;
    due.emplace_back(name, request);
  }
  std::vector<PeerMessage> out;
  for (const auto &[name, request] : due) {
    PeerMessage message{name, {}};
    *message.Message.mutable_demand() = makeDemand(name, request, now);
    out.push_back(std::move(message));
  }
  return out;
}

} // namespace masticwinch
