#pragma once

#include "masticwinch/coordination/requests/fair_queue.hpp"
#include "masticwinch/coordination/requests/request_config.hpp"
#include "masticwinch/coordination/requests/request_effects.hpp"
#include "masticwinch/coordination/requests/request_record.hpp"
#include "masticwinch/coordination/requests/retry_budget.hpp"
#include "masticwinch/coordination/requests/service_times.hpp"
#include "masticwinch/coordination/requests/slot_holder.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"
#include "masticwinch/coordination/requests/token_bucket.hpp"
#include "masticwinch/coordination/requests/upstream_health.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticwinch {

/// What one entry VM's dispatcher depends on besides the configuration.
struct DispatcherOptions {
  EntryIncarnation Self;
  std::string DataCenter;
  SlotTiming Slots = {};
  EjectionRules Ejection = {};
  /// Second sendings as a share of first ones, and most of them in a burst.
  double RetryRatio = 0.1;
  double RetryBurst = 20;
  Milliseconds FirstBackoff{10};
  Milliseconds LongestBackoff{1000};
  /// Seed of the jitter.
  std::uint64_t Seed = 1;
};

/// Counts for metrics.
struct DispatcherCounts {
  std::size_t Waiting = 0;
  std::size_t OpenDispatches = 0;
  std::size_t Ejected = 0;
  std::uint32_t SlotsHeld = 0;
  /// Upstreams whose slots are granted here.
  std::size_t OwnedUpstreams = 0;
};

/// Decides about the requests of one entry VM: who waits, who is refused, which
/// upstream gets what, what is sent again, and what each caller is told. Events
/// go in by the functions; effects are taken out after each. It does no I/O.
///
/// A request ends in exactly one reply, unless its caller left. A request that
/// isn't repeatable is sent again only if the former sending proved not run.
class Dispatcher {
public:
  explicit Dispatcher(DispatcherOptions options);

  /// A caller's request arrived. It may have its reply at once.
  RequestNumber requestArrived(RequestArrival arrival, SteadyTime now);

  /// The replicated state answered a claim.
  void claimAnswered(const protocol::ClaimResult &result, SteadyTime now);

  /// A dispatch ended; `answer` is set if and only if it was answered.
  void dispatchEnded(DispatchNumber number, DispatchResult result,
                     AnswerPointer answer, SteadyTime now);

  /// The caller closed its connection before its reply.
  void callerDisconnected(RequestNumber number, SteadyTime now);

  /// Another entry VM sent a message.
  void peerMessageReceived(const EntryIncarnation &from,
                           const protocol::RequestPeerMessage &message,
                           SteadyTime now);

  /// The configuration changed.
  void configure(const std::vector<protocol::ConfigItem> &items,
                 SteadyTime now);

  /// This entry VM may no longer serve; what waits ends. Happens by itself when
  /// the time to serve is over.
  void fence(SteadyTime now);

  /// This entry VM may serve until that time; the configuration that was given
  /// is current. An earlier end than known before is ignored.
  void serveUntil(SteadyTime end, SteadyTime now);

  /// Refuses new requests from now on; those that are here go on.
  void drain() { Draining = true; }

  /// Time passed. Needed when `nextWake` has come and at least every 50 ms.
  void tick(SteadyTime now);

  /// When the next timer of a request is due.
  std::optional<SteadyTime> nextWake() const;

  /// Takes out the effects, in their order.
  std::vector<RequestEffect> takeEffects() {
    return std::exchange(Effects, {});
  }

  /// Whether no request is here.
  bool idle() const { return Records.empty(); }

  DispatcherCounts counts(SteadyTime now) const;
  const RequestConfig &config() const { return Config; }
  const SlotOwner &slotOwner() const { return Owner; }
  const SlotHolder &slotHolder() const { return Holder; }

private:
  struct Dispatch {
    RequestNumber Request = 0;
    std::string Upstream;
    std::string Profile;
    bool Patient = false;
    SteadyTime StartedAt{};
  };

  // Admission: dispatcher_admission.cpp.
  RefusalReason refusalOnArrival(const RequestRecord &record) const;
  void admit(RequestRecord &record, SteadyTime now);
  RefusalReason admissionRefusal(RequestRecord &record, SteadyTime now);
  TokenBucket *bucketOf(const RequestRecord &record);
  Milliseconds expectedWait(bool urgent, SteadyTime now) const;
  Milliseconds retryAfter(const RequestRecord &record, RefusalReason reason,
                          SteadyTime now);
  void enqueue(RequestRecord &record, SteadyTime now);
  void dequeued(const RequestRecord &record);
  Milliseconds reservedRunTime(const RequestRecord &record) const;

  // Life of a request: dispatcher.cpp.
  void startClaim(RequestRecord &record);
  void claimGranted(RequestRecord &record, SteadyTime now);
  void finish(RequestRecord &record, RequestOutcome outcome,
              RefusalReason reason, AnswerPointer answer, SteadyTime now);
  void resolveClaim(RequestRecord &record, RequestOutcome outcome,
                    const AnswerPointer &answer);
  void endWithoutAnswer(RequestRecord &record, RefusalReason reason,
                        SteadyTime now);
  void eraseIfDone(RequestNumber number);
  void afterFailure(RequestRecord &record, DispatchResult result,
                    SteadyTime now);
  bool mayRetry(const RequestRecord &record, SteadyTime now) const;
  Milliseconds backoff(unsigned attempts);
  void setTimer(RequestRecord &record);
  void timerFired(RequestRecord &record, SteadyTime now);
  void refuseWaiting(RefusalReason reason, SteadyTime now);
  void checkLease(SteadyTime now);

  // Routing: dispatcher_routing.cpp.
  void dispatchWaiting(SteadyTime now);
  SlotShortage shortage() const;
  void exchangeLocalSlots(SlotShortage want, SteadyTime now);
  bool canDispatch(RequestNumber number, SteadyTime now) const;
  const UpstreamEntry *selectUpstream(const RequestRecord &record,
                                      bool onlyUntried, SteadyTime now) const;
  bool triedAllUpstreams(const RequestRecord &record, SteadyTime now) const;
  void dispatch(RequestRecord &record, const UpstreamEntry &upstream,
                SteadyTime now);
  void hedge(RequestRecord &record, SteadyTime now);
  void recordResult(const Dispatch &dispatch, DispatchResult result,
                    const AnswerPointer &answer, SteadyTime now);
  void send(std::vector<PeerMessage> messages);

  DispatcherOptions Options;
  RequestConfig Config;
  SlotOwner Owner;
  SlotHolder Holder;
  UpstreamHealth Health;
  ServiceTimes ServiceTimeMeans;
  FairQueue Queue;
  /// Sum of the upstreams that waiting requests were sent to before.
  std::size_t WaitingTriedUpstreams = 0;
  RetryBudget Budget;
  std::mt19937_64 Random;
  std::map<std::string, TokenBucket> Buckets;
  std::map<std::string, std::size_t> ProfileDispatches;
  std::map<std::string, std::size_t> ProfileClaims;
  std::unordered_map<RequestNumber, RequestRecord> Records;
  std::unordered_map<DispatchNumber, Dispatch> Dispatches;
  std::set<std::pair<SteadyTime, RequestNumber>> Timers;
  std::vector<RequestEffect> Effects;
  RequestNumber LastRequest = 0;
  DispatchNumber LastDispatch = 0;
  SteadyTime LastDispatchRound{};
  SteadyTime ServingUntil{};
  bool Fenced = true;
  bool Draining = false;
};

} // namespace masticwinch
