#pragma once

#include "masticwinch/coordination/requests/request_config.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"
#include "masticwinch/coordination/requests/slot_timing.hpp"
#include "masticwinch/protocol/requests.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch {

/// Number of requests that wait for a slot, by class.
struct SlotShortage {
  std::uint32_t Urgent = 0;
  std::uint32_t Patient = 0;

  bool any() const { return Urgent + Patient > 0; }
};

/// Tracks the slots that this entry VM holds under leases, and their use. A
/// slot is in use until its dispatch has ended at the upstream or the
/// connection is closed. Slots belong to the name of an upstream and survive
/// its restarts, because work meant for the previous incarnation may reach the
/// new one.
class SlotHolder {
public:
  SlotHolder(EntryIncarnation self, SlotTiming timing);

  void configure(const RequestConfig &config);

  /// Whether a slot of the upstream is free for a dispatch that starts now.
  bool hasFreeSlot(const std::string &upstream, bool patient,
                   SteadyTime now) const;

  /// Total number of slots under a valid lease, plus those in use under an
  /// expired one.
  std::uint32_t usableSlots(SteadyTime now) const;

  /// Marks a free slot as in use and returns the maximum duration of the
  /// dispatch.
  Milliseconds acquireSlot(const std::string &upstream, bool patient);
  void releaseSlot(const std::string &upstream, bool patient);

  std::uint32_t inUse(const std::string &upstream) const;

  /// When the lease on the upstream's slots ends.
  SteadyTime expiryOf(const std::string &upstream) const {
    return Upstreams.at(upstream).Expiry;
  }

  /// Creates the demand to send to an owner now. Until the owner's grant
  /// arrives, no more slots are used than the demand states.
  protocol::SlotDemand makeDemand(const std::string &owner, SlotShortage want,
                                  SteadyTime now);

  /// Applies a grant; one that doesn't answer the latest demand is ignored.
  void applyGrant(const std::string &owner, const protocol::SlotGrant &grant,
                  SteadyTime now);

  /// Creates the demands to other entry VMs that are due: for missing slots, to
  /// renew leases, and to return slots that others wait for.
  std::vector<PeerMessage> dueDemands(SlotShortage shortage, SteadyTime now);

private:
  struct HeldSlots {
    std::string Owner;
    std::uint32_t Slots = 0;
    std::uint32_t Patient = 0;
    SteadyTime Expiry{};
    /// Until then, the owner that granted the slots keeps them reserved.
    SteadyTime ReservedUntil{};
    /// The lease had ended when the last demand was made.
    bool LeaseEnded = false;
    Milliseconds MaxDispatchTime{0};
    std::uint32_t InUse = 0;
    std::uint32_t PatientInUse = 0;
    /// Maximum number of slots in use at the same time since the last demand.
    std::uint32_t PeakInUse = 0;
    bool Present = true;
    /// The owner may have slots reserved for this entry VM.
    bool KnownToOwner = false;
    /// The owner is new and doesn't grant additional slots yet.
    bool OwnerNotReady = false;
  };
  struct Owner {
    std::uint64_t Sequence = 0;
    std::uint32_t Index = 0;
    SteadyTime SentAt{};
    Milliseconds MaxDispatchTime{0};
    /// Whether the last demand was answered.
    bool Answered = true;
    bool Contended = false;
    /// Limit on the slots in use while other holders wait; 0 for none.
    std::uint32_t UsageLimit = 0;
    std::uint32_t InUse = 0;
    std::uint32_t FreeSlots = 1;
    SlotShortage Requested;
  };

  static std::uint32_t idleSlots(const HeldSlots &held);
  static void shrink(HeldSlots &held, const Owner &owner, bool keepPeakSlots,
                     SteadyTime now);
  static bool isSafeToUse(const HeldSlots &held,
                          const protocol::SlotHolding &granted, SteadyTime now);
  bool isAtUsageLimit(const Owner &owner, SteadyTime now) const;
  bool holdsSlotsOf(const std::string &owner) const;
  bool hasIdleSlotsOf(const std::string &owner) const;
  bool isRenewalDue(const std::string &name, const Owner &owner,
                    SteadyTime now) const;
  bool shouldReturnSlots(const std::string &name, const Owner &owner,
                         SlotShortage shortage, SteadyTime now) const;
  SlotShortage clampToFreeSlots(SlotShortage shortage,
                                const Owner &owner) const;

  EntryIncarnation Self;
  SlotTiming Timing;
  Milliseconds MaxDispatchTime{0};
  std::map<std::string, HeldSlots> Upstreams;
  std::map<std::string, Owner> Owners;
};

} // namespace masticwinch
