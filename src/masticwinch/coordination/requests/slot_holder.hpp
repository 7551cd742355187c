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

/// How many requests wait for a slot, by class.
struct SlotShortage {
  std::uint32_t Urgent = 0;
  std::uint32_t Patient = 0;

  bool any() const { return Urgent + Patient > 0; }
};

/// The slots that this entry VM holds under lease, and which of them it uses. A
/// slot stays in use until its dispatch has ended at the upstream or its
/// connection is closed. Slots belong to an upstream's name: they outlast its
/// restarts, since work may reach the new incarnation that was meant for the
/// former one.
class SlotHolder {
public:
  SlotHolder(EntryIncarnation self, SlotTiming timing);

  void configure(const RequestConfig &config);

  /// Whether a slot of the upstream is free for a dispatch that starts now.
  bool hasFreeSlot(const std::string &upstream, bool patient,
                   SteadyTime now) const;

  /// Free slots of any upstream, by class.
  std::uint32_t usableSlots(SteadyTime now) const;

  /// Uses a free slot; gives the longest time that the dispatch may take.
  Milliseconds acquireSlot(const std::string &upstream, bool patient);
  void releaseSlot(const std::string &upstream, bool patient);

  std::uint32_t inUse(const std::string &upstream) const;

  /// When the lease on the upstream's slots ends.
  SteadyTime expiryOf(const std::string &upstream) const {
    return Upstreams.at(upstream).Expiry;
  }

  /// The demand to state to an owner now. From here on no more is used than the
  /// demand says, until the owner's grant.
  protocol::SlotDemand makeDemand(const std::string &owner, SlotShortage want,
                                  SteadyTime now);

  /// Takes in a grant; one that is not for the last demand is ignored.
  void applyGrant(const std::string &owner, const protocol::SlotGrant &grant);

  /// Demands to other entry VMs that are due: for slots that are missing here,
  /// renewals, and returns of slots that others wait for.
  std::vector<PeerMessage> dueDemands(SlotShortage shortage, SteadyTime now);

private:
  struct HeldSlots {
    std::string Owner;
    std::uint32_t Slots = 0;
    std::uint32_t Patient = 0;
    SteadyTime Expiry{};
    Milliseconds MaxDispatchTime{0};
    std::uint32_t InUse = 0;
    std::uint32_t PatientInUse = 0;
    /// Most used at a time since the last demand.
    std::uint32_t PeakInUse = 0;
    bool Present = true;
    /// The owner may count slots for this entry VM.
    bool KnownToOwner = false;
    /// The owner is new and may grant nothing more for a while.
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
    /// Bound on the slots in use while others wait; none if 0.
    std::uint32_t UsageLimit = 0;
    std::uint32_t InUse = 0;
    std::uint32_t FreeSlots = 1;
    SlotShortage Requested;
  };

  static std::uint32_t idleSlots(const HeldSlots &held);
  static void shrink(HeldSlots &held, const Owner &owner, bool keepPeakSlots,
                     SteadyTime now);
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
