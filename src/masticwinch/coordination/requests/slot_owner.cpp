#include "masticwinch/coordination/requests/slot_owner.hpp"

#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch {
namespace {

constexpr Milliseconds HandoverResendInterval{100};

/// Longer than the maximum duration of a reservation.
constexpr Milliseconds PoolRetention{600'000};

/// One slot is reserved for urgent work if there is an urgent profile.
constexpr std::uint32_t UrgentReserve = 1;

std::uint32_t patientLimit(std::uint32_t slots, bool hasUrgent) {
  return hasUrgent && slots > UrgentReserve ? slots - UrgentReserve : slots;
}

Milliseconds millisecondsUntil(SteadyTime then, SteadyTime now) {
  return std::chrono::ceil<Milliseconds>(std::max(then - now, {}));
}

} // namespace

SlotOwner::SlotOwner(std::string self, SlotTiming timing)
    : Self(std::move(self)), Timing(timing) {}

std::vector<PeerMessage> SlotOwner::configure(const RequestConfig &config,
                                              SteadyTime now) {
  if (Suspended) {
    return {};
  }
  const std::uint64_t previousRevision =
      std::exchange(EntriesRevision, config.entriesRevision());
  LongestDeadline = std::max(LongestDeadline, config.longestDeadline());
  DataCenters.clear();
  for (const auto &[name, it] : config.entries()) {
    DataCenters[name] = it.data_center();
  }
  handOverLostPools(config, now);
  for (const auto &[name, it] : config.upstreams()) {
    if (ownerOf(name, config.entries()) == Self) {
      addOrUpdatePool(config, it, previousRevision, now);
    }
  }
  return tick(now);
}

/// No requests can have been sent yet to an upstream that announced itself for
/// the first time and after the last change to the set of entry VMs.
bool SlotOwner::isFirstAnnouncement(const RequestConfig &config,
                                    const UpstreamEntry &entry) const {
  return entry.Revision > config.entriesRevision() &&
         !entry.Upstream.returning();
}

Milliseconds SlotOwner::waitForPreviousOwner() const {
  return Timing.ServingLease + Timing.Lease + LongestDeadline +
         Timing.SafetyMargin;
}

void SlotOwner::startWaiting(Pool &pool, SteadyTime now) const {
  pool.ReadyAt = now + waitForPreviousOwner();
  pool.SoleOwnerAt = now + Timing.ServingLease;
}

/// Whether the upstream may have had another owner between the two last known
/// configurations: an entry VM that comes before this one joined and left. It
/// can't have been removed for its silence, because that takes longer than the
/// serving lease of this one.
bool SlotOwner::mayHaveLostMeanwhile(const RequestConfig &config,
                                     const std::string &upstream,
                                     std::uint64_t since) const {
  if (config.entriesRevision() == since) {
    return false;
  }
  const protocol::EntryMember &self = config.entries().at(Self);
  const bool last = self.leaving() || self.yielded();
  const std::vector<std::string> left = config.departuresSince(since);
  return std::any_of(left.begin(), left.end(), [&](const std::string &it) {
    return it != Self &&
           (last || ownerOf(upstream, {{Self, {}}, {it, {}}}) != Self);
  });
}

/// Another owner in the meantime may have confirmed slots to their holders.
void SlotOwner::countUnknownGrants(Pool &pool, SteadyTime now) const {
  if (pool.ReadyAt > now) {
    startWaiting(pool, now);
    pool.OwnedSinceRevision = EntriesRevision;
    return;
  }
  for (auto &[holder, it] : pool.Reservations) {
    if (it.EndsAt > now) {
      it.EndsAt = std::max(it.EndsAt, now + waitForPreviousOwner());
    }
  }
}

/// Reservations from a previous incarnation still count: their holders may not
/// know about the new incarnation and may send requests to its address.
void SlotOwner::addOrUpdatePool(const RequestConfig &config,
                                const UpstreamEntry &entry,
                                std::uint64_t previousRevision,
                                SteadyTime now) {
  const protocol::Upstream &upstream = entry.Upstream;
  const auto [place, added] = Pools.try_emplace(upstream.name());
  Pool &pool = place->second;
  if (added) {
    startWaiting(pool, now);
    if (isFirstAnnouncement(config, entry)) {
      pool.ReadyAt = now;
    }
    pool.OwnedSinceRevision = EntriesRevision;
  } else if (mayHaveLostMeanwhile(config, upstream.name(), previousRevision)) {
    countUnknownGrants(pool, now);
  }
  pool.Upstream = upstream;
  pool.LeftAt.reset();
  pool.PatientLimit = patientLimit(upstream.slots(), config.hasUrgentProfile());
}

/// Hands over the pools that have a different owner now, provided that this
/// entry VM knew all of their reservations.
void SlotOwner::handOverLostPools(const RequestConfig &config, SteadyTime now) {
  for (auto it = Pools.begin(); it != Pools.end();) {
    Pool &pool = it->second;
    if (shouldKeepPool(config, pool, now)) {
      ++it;
      continue;
    }
    const std::string owner = ownerOf(it->first, config.entries());
    if (owner != Self && !owner.empty() && pool.ReadyAt <= now) {
      PendingHandover &pending = Handovers[owner];
      pending.Message.set_revision(EntriesRevision);
      *pending.Message.add_ledgers() = ledgerOf(pool, now);
      pending.ExpiresAt = now + Timing.ServingLease;
      pending.DueAt = now;
    }
    it = Pools.erase(it);
  }
}

/// The pool of an upstream that left is kept for a while without slots, so that
/// no waiting period is needed if the upstream announces itself again.
bool SlotOwner::shouldKeepPool(const RequestConfig &config, Pool &pool,
                               SteadyTime now) {
  const std::string &name = pool.Upstream.name();
  if (ownerOf(name, config.entries()) != Self) {
    return false;
  }
  if (config.upstreams().contains(name)) {
    return true;
  }
  pool.Upstream.set_slots(0);
  pool.LeftAt = pool.LeftAt.value_or(now);
  return now < *pool.LeftAt + PoolRetention;
}

protocol::SlotLedger SlotOwner::ledgerOf(const Pool &pool, SteadyTime now) {
  protocol::SlotLedger ledger;
  ledger.set_upstream(pool.Upstream.name());
  for (const auto &[holder, it] : pool.Reservations) {
    if (it.EndsAt <= now || it.Slots == 0) {
      continue;
    }
    protocol::SlotReservation &out = *ledger.add_reservations();
    out.set_holder(holder.Name);
    out.set_incarnation(holder.Incarnation);
    out.set_slots(it.Slots);
    out.set_patient_slots(it.Patient);
    out.set_remaining_ms(
        static_cast<std::uint32_t>(millisecondsUntil(it.EndsAt, now).count()));
  }
  return ledger;
}

protocol::SlotHandoverReply
SlotOwner::acceptHandover(const protocol::SlotHandover &handover,
                          SteadyTime now) {
  protocol::SlotHandoverReply reply;
  if (Suspended || handover.revision() > EntriesRevision) {
    return reply;
  }
  reply.set_revision(handover.revision());
  for (const protocol::SlotLedger &it : handover.ledgers()) {
    const auto found = Pools.find(it.upstream());
    if (found == Pools.end() || found->second.ReadyAt <= now ||
        found->second.OwnedSinceRevision != handover.revision()) {
      continue;
    }
    Pool &pool = found->second;
    for (const protocol::SlotReservation &in : it.reservations()) {
      const EntryIncarnation holder{in.holder(), in.incarnation()};
      const auto stated = pool.Reservations.find(holder);
      if (stated == pool.Reservations.end()) {
        reserve(pool, holder, {in.slots(), in.patient_slots()},
                now + Milliseconds(in.remaining_ms()) + Timing.SafetyMargin);
      } else if (stated->second.LeaseEnded) {
        stated->second.Slots = std::min(stated->second.Slots, in.slots());
        stated->second.Patient =
            std::min(stated->second.Patient, in.patient_slots());
        stated->second.LeaseEnded = false;
      }
    }
    std::erase_if(pool.Reservations,
                  [](const auto &known) { return known.second.LeaseEnded; });
    pool.ReadyAt = now;
  }
  return reply;
}

void SlotOwner::handleHandoverReply(const std::string &from,
                                    const protocol::SlotHandoverReply &reply) {
  const auto found = Handovers.find(from);
  if (found != Handovers.end() &&
      found->second.Message.revision() == reply.revision()) {
    Handovers.erase(found);
  }
}

std::optional<protocol::SlotGrant>
SlotOwner::handleDemand(const EntryIncarnation &holder,
                        const protocol::SlotDemand &demand, SteadyTime now) {
  if (Suspended) {
    return std::nullopt;
  }
  Holder &state = Holders[holder];
  if (demand.sequence() <= state.Sequence) {
    return std::nullopt;
  }
  state.Sequence = demand.sequence();
  state.Index = 0;
  state.WantUrgent = demand.want_urgent();
  state.WantPatient = demand.want_patient();
  state.MaxDispatchTime = Milliseconds(demand.horizon_ms());
  state.DataCenter = DataCenters[holder.Name];
  state.DemandedAt = now;
  reserveHoldings(holder, state, demand);
  grantWanted(holder, state, now);
  return grantFor(holder, state, now);
}

/// The holder uses no more than stated in its demand, because from then on it
/// ignores grants for earlier demands.
void SlotOwner::reserveHoldings(const EntryIncarnation &name,
                                const Holder &holder,
                                const protocol::SlotDemand &demand) {
  for (const protocol::SlotHolding &it : demand.holdings()) {
    const auto found = Pools.find(it.upstream());
    if (found == Pools.end()) {
      continue;
    }
    Pool &pool = found->second;
    PoolUse use{it.slots(), it.patient_slots()};
    if (pool.ReadyAt <= holder.DemandedAt) {
      use = limitToFree(pool, name, use, holder.DemandedAt);
    }
    Reservation &known = pool.Reservations[name];
    const bool unconfirmed =
        known.LeaseEnded || known.EndsAt <= holder.DemandedAt;
    reserve(pool, name, use, reservationEnd(holder));
    known.LeaseEnded = unconfirmed && it.lease_ended();
  }
}

/// Limits the slots that a holder states to those reserved for it or free. More
/// are stated only in a demand that arrives after the reservation has ended,
/// and with it all dispatches.
SlotOwner::PoolUse SlotOwner::limitToFree(const Pool &pool,
                                          const EntryIncarnation &name,
                                          PoolUse stated, SteadyTime now) {
  PoolUse reserved;
  const auto found = pool.Reservations.find(name);
  if (found != pool.Reservations.end() && found->second.EndsAt > now) {
    reserved = {found->second.Slots, found->second.Patient};
  }
  const PoolUse all = useOf(pool, now);
  const auto limit = [](std::uint32_t slots, std::uint32_t used,
                        std::uint32_t own) {
    return own + (slots > used ? slots - used : 0);
  };
  PoolUse use;
  use.Slots = std::min(stated.Slots,
                       limit(pool.Upstream.slots(), all.Slots, reserved.Slots));
  use.Patient =
      std::min({stated.Patient, use.Slots,
                limit(pool.PatientLimit, all.Patient, reserved.Patient)});
  return use;
}

/// A reservation never ends earlier than promised before, because the holder
/// may have dispatched requests relying on it.
void SlotOwner::reserve(Pool &pool, const EntryIncarnation &name, PoolUse use,
                        SteadyTime until) {
  Reservation &reservation = pool.Reservations[name];
  reservation.Slots = use.Slots;
  reservation.Patient = use.Patient;
  reservation.EndsAt = std::max(reservation.EndsAt, until);
}

SteadyTime SlotOwner::reservationEnd(const Holder &holder) const {
  return holder.DemandedAt + Timing.Lease + holder.MaxDispatchTime +
         Timing.SafetyMargin;
}

std::uint32_t SlotOwner::grantWanted(const EntryIncarnation &name,
                                     Holder &holder, SteadyTime now) {
  std::uint32_t granted = 0;
  while (holder.WantUrgent > 0 && isNextToReceive(name, holder, now) &&
         grantOne(name, holder, false, now)) {
    --holder.WantUrgent;
    holder.GrantedAt = now;
    ++granted;
  }
  while (holder.WantPatient > 0 && isNextToReceive(name, holder, now) &&
         grantOne(name, holder, true, now)) {
    --holder.WantPatient;
    holder.GrantedAt = now;
    ++granted;
  }
  return granted;
}

bool SlotOwner::isWaiting(const Holder &holder, SteadyTime now) const {
  return holder.DemandedAt + Timing.Lease > now &&
         holder.WantUrgent + holder.WantPatient > 0;
}

std::uint32_t SlotOwner::slotsHeldBy(const EntryIncarnation &name,
                                     SteadyTime now) const {
  std::uint32_t held = 0;
  for (const auto &[upstream, pool] : Pools) {
    const auto found = pool.Reservations.find(name);
    if (found != pool.Reservations.end() && found->second.EndsAt > now) {
      held += found->second.Slots;
    }
  }
  return held;
}

/// Number of slots for each holder that waits for slots or has some; at least
/// one.
std::uint32_t SlotOwner::fairShare(SteadyTime now) const {
  std::uint32_t slots = 0;
  for (const auto &[upstream, pool] : Pools) {
    slots += pool.ReadyAt <= now ? pool.Upstream.slots() : 0;
  }
  std::uint32_t active = 0;
  for (const auto &[name, holder] : Holders) {
    active += isWaiting(holder, now) || slotsHeldBy(name, now) > 0 ? 1 : 0;
  }
  return std::max<std::uint32_t>(slots / std::max<std::uint32_t>(active, 1), 1);
}

bool SlotOwner::isBelowShare(const EntryIncarnation &name, const Holder &holder,
                             std::uint32_t share, SteadyTime now) const {
  return isWaiting(holder, now) && slotsHeldBy(name, now) < share;
}

/// Free slots go first to the holder with the fewest slots, and among equals to
/// the one that has waited longest, up to a fair share for each.
bool SlotOwner::isNextToReceive(const EntryIncarnation &name,
                                const Holder &holder, SteadyTime now) {
  if (!otherHolderWaits(name, now)) {
    return true;
  }
  const std::uint32_t share = fairShare(now);
  const std::pair<std::uint32_t, SteadyTime> rank{slotsHeldBy(name, now),
                                                  holder.GrantedAt};
  return std::none_of(Holders.begin(), Holders.end(), [&](const auto &it) {
    const Holder &other = it.second;
    if (it.first == name || !isBelowShare(it.first, other, share, now)) {
      return false;
    }
    const bool canBeServed =
        (other.WantUrgent > 0 && bestPool(other, false, now) != nullptr) ||
        (other.WantPatient > 0 && bestPool(other, true, now) != nullptr);
    return canBeServed &&
           std::pair{slotsHeldBy(it.first, now), other.GrantedAt} < rank;
  });
}

/// Limit on a holder's slots while other holders wait with less than their
/// share; 0 if there is none.
std::uint32_t SlotOwner::usageLimitOf(const EntryIncarnation &name,
                                      SteadyTime now) const {
  if (!otherHolderWaits(name, now)) {
    return 0;
  }
  const std::uint32_t share = fairShare(now);
  const bool anyShort =
      std::any_of(Holders.begin(), Holders.end(), [&](const auto &it) {
        return it.first != name &&
               isBelowShare(it.first, it.second, share, now);
      });
  return anyShort ? share : 0;
}

bool SlotOwner::grantOne(const EntryIncarnation &name, const Holder &holder,
                         bool patient, SteadyTime now) {
  Pool *pool = bestPool(holder, patient, now);
  if (pool == nullptr) {
    return false;
  }
  const Reservation held = pool->Reservations[name];
  PoolUse use;
  if (held.EndsAt > now) {
    use = {held.Slots, held.Patient};
  }
  const bool patientMayUse = useOf(*pool, now).Patient < pool->PatientLimit;
  use.Slots += 1;
  use.Patient += patientMayUse ? 1 : 0;
  reserve(*pool, name, use, reservationEnd(holder));
  return true;
}

/// Selects the pool with the most free slots, preferring the holder's data
/// centre.
SlotOwner::Pool *SlotOwner::bestPool(const Holder &holder, bool patient,
                                     SteadyTime now) {
  Pool *best = nullptr;
  std::pair<bool, std::uint32_t> bestRank;
  for (auto &[name, pool] : Pools) {
    const PoolUse use = useOf(pool, now);
    if (pool.ReadyAt > now || use.Slots >= pool.Upstream.slots() ||
        (patient && use.Patient >= pool.PatientLimit)) {
      continue;
    }
    const std::pair<bool, std::uint32_t> rank{
        pool.Upstream.data_center() == holder.DataCenter,
        pool.Upstream.slots() - use.Slots};
    if (best == nullptr || rank > bestRank) {
      best = &pool;
      bestRank = rank;
    }
  }
  return best;
}

SlotOwner::PoolUse SlotOwner::useOf(const Pool &pool, SteadyTime now) {
  PoolUse use;
  for (const auto &[holder, it] : pool.Reservations) {
    if (it.EndsAt > now) {
      use.Slots += it.Slots;
      use.Patient += it.Patient;
    }
  }
  return use;
}

/// States all slots that are reserved for the holder, including those that it
/// doesn't know of because an earlier grant was lost. They are granted under
/// the new lease, so the reservation is extended to its end.
protocol::SlotGrant SlotOwner::grantFor(const EntryIncarnation &name,
                                        Holder &holder, SteadyTime now) {
  protocol::SlotGrant grant;
  grant.set_sequence(holder.Sequence);
  grant.set_index(++holder.Index);
  grant.set_holder_incarnation(name.Incarnation);
  grant.set_lease_ms(static_cast<std::uint32_t>(Timing.Lease.count()));
  std::uint32_t free = 0;
  for (auto &[upstream, pool] : Pools) {
    const std::uint32_t used = useOf(pool, now).Slots;
    free += pool.ReadyAt <= now && used < pool.Upstream.slots()
                ? pool.Upstream.slots() - used
                : 0;
    const auto found = pool.Reservations.find(name);
    if (found == pool.Reservations.end() || found->second.EndsAt <= now ||
        found->second.Slots == 0) {
      continue;
    }
    found->second.EndsAt =
        std::max(found->second.EndsAt, reservationEnd(holder));
    protocol::SlotHolding &out = *grant.add_holdings();
    out.set_upstream(upstream);
    out.set_slots(found->second.Slots);
    out.set_patient_slots(found->second.Patient);
    if (pool.ReadyAt > now) {
      out.set_waiting(true);
      out.set_previous_owner_ms(static_cast<std::uint32_t>(
          millisecondsUntil(pool.SoleOwnerAt, now).count()));
    }
  }
  grant.set_free_slots(free);
  grant.set_contended(otherHolderWaits(name, now));
  grant.set_share(usageLimitOf(name, now));
  return grant;
}

bool SlotOwner::otherHolderWaits(const EntryIncarnation &name,
                                 SteadyTime now) const {
  return std::any_of(Holders.begin(), Holders.end(), [&](const auto &it) {
    return it.first != name && isWaiting(it.second, now);
  });
}

std::vector<PeerMessage> SlotOwner::tick(SteadyTime now) {
  if (Suspended) {
    return {};
  }
  std::vector<PeerMessage> out = dueHandovers(now);
  for (auto &[name, holder] : Holders) {
    if (name.Name == Self || holder.DemandedAt + Timing.Lease <= now ||
        grantWanted(name, holder, now) == 0) {
      continue;
    }
    PeerMessage message{name.Name, {}};
    *message.Message.mutable_grant() = grantFor(name, holder, now);
    out.push_back(std::move(message));
  }
  return out;
}

std::vector<PeerMessage> SlotOwner::dueHandovers(SteadyTime now) {
  std::vector<PeerMessage> out;
  std::erase_if(Handovers,
                [now](const auto &it) { return it.second.ExpiresAt <= now; });
  for (auto &[owner, pending] : Handovers) {
    if (pending.DueAt > now) {
      continue;
    }
    pending.DueAt = now + HandoverResendInterval;
    PeerMessage message{owner, {}};
    *message.Message.mutable_handover() = pending.Message;
    out.push_back(std::move(message));
  }
  return out;
}

/// Reservations are still valid if the set of entry VMs has not changed in the
/// meantime, because then there was no other owner.
std::vector<PeerMessage> SlotOwner::resume(const RequestConfig &config,
                                           SteadyTime now) {
  if (Suspended && config.entriesRevision() != EntriesRevision) {
    Pools.clear();
    Handovers.clear();
  }
  Suspended = false;
  return configure(config, now);
}

std::size_t SlotOwner::ownedUpstreams() const {
  if (Suspended) {
    return 0;
  }
  const auto present =
      std::count_if(Pools.begin(), Pools.end(), [](const auto &it) {
        return !it.second.LeftAt.has_value();
      });
  return static_cast<std::size_t>(present);
}

std::uint32_t SlotOwner::reservedSlots(const std::string &upstream,
                                       SteadyTime now) const {
  const auto found = Pools.find(upstream);
  return found == Pools.end() ? 0 : useOf(found->second, now).Slots;
}

} // namespace masticwinch
