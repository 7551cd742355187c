#pragma once

#include "masticwinch/coordination/requests/request_config.hpp"
#include "masticwinch/coordination/requests/slot_timing.hpp"
#include "masticwinch/protocol/requests.pb.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch {

/// A message from this entry VM to another.
struct PeerMessage {
  std::string To;
  protocol::RequestPeerMessage Message;
};

/// Identifies one incarnation of an entry VM.
struct EntryIncarnation {
  std::string Name;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const EntryIncarnation &) const = default;
};

/// Grants leases on the slots of the upstreams that this entry VM owns. The
/// leases of an upstream never exceed its slots in total: a reservation ends
/// only when its holder reduced it, or when its lease and the longest dispatch
/// under it have ended. A new owner grants nothing until the previous owner has
/// handed over its reservations, or until all of them must have ended.
class SlotOwner {
public:
  SlotOwner(std::string self, SlotTiming timing);

  /// Applies a changed configuration. Returns the messages that hand over the
  /// upstreams that this entry VM no longer owns.
  std::vector<PeerMessage> configure(const RequestConfig &config,
                                     SteadyTime now);

  /// Answers a holder's demand; returns nothing for an outdated one.
  std::optional<protocol::SlotGrant>
  handleDemand(const EntryIncarnation &holder,
               const protocol::SlotDemand &demand, SteadyTime now);

  /// Accepts the reservations of a previous owner.
  protocol::SlotHandoverReply
  acceptHandover(const protocol::SlotHandover &handover, SteadyTime now);
  void handleHandoverReply(const std::string &from,
                           const protocol::SlotHandoverReply &reply);

  /// Grants freed slots to waiting holders and resends handovers.
  std::vector<PeerMessage> tick(SteadyTime now);

  /// Stops granting slots, because this entry VM may no longer be the owner.
  void suspend() { Suspended = true; }

  /// Resumes granting with a configuration that is known to be current.
  std::vector<PeerMessage> resume(const RequestConfig &config, SteadyTime now);

  /// Whether upstreams still have to be handed over to their new owner.
  bool hasPendingHandovers() const { return !Handovers.empty(); }

  /// Number of upstreams whose slots this entry VM may grant; 0 while
  /// suspended.
  std::size_t ownedUpstreams() const;

  /// Number of reserved slots of an upstream.
  std::uint32_t reservedSlots(const std::string &upstream,
                              SteadyTime now) const;

private:
  struct Reservation {
    std::uint32_t Slots = 0;
    std::uint32_t Patient = 0;
    /// Time by which the lease and all dispatches under it have ended.
    SteadyTime EndsAt{};
    /// The holder stated the slots here only after the end of its lease, so it
    /// may not be using them.
    bool LeaseEnded = false;
  };
  struct Pool {
    protocol::Upstream Upstream;
    std::uint32_t PatientLimit = 0;
    std::map<EntryIncarnation, Reservation> Reservations;
    /// Before this time, only slots that holders already have are confirmed.
    SteadyTime ReadyAt{};
    /// From this time on, no previous owner grants slots.
    SteadyTime SoleOwnerAt{};
    /// Revision of the set of entry VMs at which this one became the owner.
    std::uint64_t OwnedSinceRevision = 0;
    /// When the upstream left, if it has.
    std::optional<SteadyTime> LeftAt;
  };
  struct Holder {
    std::uint64_t Sequence = 0;
    std::uint32_t Index = 0;
    std::uint32_t WantUrgent = 0;
    std::uint32_t WantPatient = 0;
    std::string DataCenter;
    Milliseconds MaxDispatchTime{0};
    SteadyTime DemandedAt{};
    /// When the holder was last granted an additional slot.
    SteadyTime GrantedAt{};
  };
  struct PendingHandover {
    protocol::SlotHandover Message;
    SteadyTime DueAt{};
    SteadyTime ExpiresAt{};
  };
  struct PoolUse {
    std::uint32_t Slots = 0;
    std::uint32_t Patient = 0;
  };

  bool isFirstAnnouncement(const RequestConfig &config,
                           const UpstreamEntry &entry) const;
  void addOrUpdatePool(const RequestConfig &config, const UpstreamEntry &entry,
                       std::uint64_t previousRevision, SteadyTime now);
  bool mayHaveLostMeanwhile(const RequestConfig &config,
                            const std::string &upstream,
                            std::uint64_t since) const;
  void countUnknownGrants(Pool &pool, SteadyTime now) const;
  void startWaiting(Pool &pool, SteadyTime now) const;
  Milliseconds waitForPreviousOwner() const;
  void handOverLostPools(const RequestConfig &config, SteadyTime now);
  bool shouldKeepPool(const RequestConfig &config, Pool &pool, SteadyTime now);
  static void reserve(Pool &pool, const EntryIncarnation &name, PoolUse use,
                      SteadyTime until);
  static protocol::SlotLedger ledgerOf(const Pool &pool, SteadyTime now);
  static PoolUse limitToFree(const Pool &pool, const EntryIncarnation &name,
                             PoolUse stated, SteadyTime now);
  static PoolUse useOf(const Pool &pool, SteadyTime now);
  std::vector<PeerMessage> dueHandovers(SteadyTime now);
  void reserveHoldings(const EntryIncarnation &name, const Holder &holder,
                       const protocol::SlotDemand &demand);
  std::uint32_t grantWanted(const EntryIncarnation &name, Holder &holder,
                            SteadyTime now);
  bool grantOne(const EntryIncarnation &name, const Holder &holder,
                bool patient, SteadyTime now);
  Pool *bestPool(const Holder &holder, bool patient, SteadyTime now);
  protocol::SlotGrant grantFor(const EntryIncarnation &name, Holder &holder,
                               SteadyTime now);
  SteadyTime reservationEnd(const Holder &holder) const;
  bool otherHolderWaits(const EntryIncarnation &name, SteadyTime now) const;
  bool isWaiting(const Holder &holder, SteadyTime now) const;
  std::uint32_t slotsHeldBy(const EntryIncarnation &name, SteadyTime now) const;
  std::uint32_t fairShare(SteadyTime now) const;
  bool isBelowShare(const EntryIncarnation &name, const Holder &holder,
                    std::uint32_t share, SteadyTime now) const;
  bool isNextToReceive(const EntryIncarnation &name, const Holder &holder,
                       SteadyTime now);
  std::uint32_t usageLimitOf(const EntryIncarnation &name,
                             SteadyTime now) const;

  std::string Self;
  SlotTiming Timing;
  std::map<std::string, Pool> Pools;
  std::map<EntryIncarnation, Holder> Holders;
  std::map<std::string, std::string> DataCenters;
  std::map<std::string, PendingHandover> Handovers;
  Milliseconds LongestDeadline{0};
  std::uint64_t EntriesRevision = 0;
  bool Suspended = false;
};

} // namespace masticwinch
