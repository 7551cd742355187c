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

/// Settings of a dispatcher besides the cell's configuration.
struct DispatcherOptions {
  EntryIncarnation Self;
  std::string DataCenter;
  SlotTiming Slots = {};
  EjectionRules Ejection = {};
  /// Ratio of retries and hedged requests to first attempts, and the maximum
  /// number of them in a burst.
  double RetryRatio = 0.1;
  double RetryBurst = 20;
  Milliseconds FirstBackoff{10};
  Milliseconds LongestBackoff{1000};
  /// How long a request waits for an earlier one with its key to end before it
  /// is answered as in progress, and the first interval between its claims.
  Milliseconds InProgressWait{250};
  Milliseconds FirstClaimInterval{20};
  /// Seed of the backoff jitter.
  std::uint64_t Seed = 1;
};

/// Gauges for metrics.
struct DispatcherCounts {
  std::size_t Waiting = 0;
  std::size_t OpenDispatches = 0;
  std::size_t Ejected = 0;
  std::uint32_t SlotsHeld = 0;
  /// Upstreams whose slots this entry VM grants.
  std::size_t OwnedUpstreams = 0;
};

/// Schedules the requests of one entry VM: queues, refuses, dispatches and
/// retries them and determines the reply to each caller. Events are passed in
/// by function calls; the resulting effects are taken out after each call. It
/// does no I/O.
///
/// A request gets exactly one reply, unless its caller disconnected. A request
/// that isn't repeatable is sent again only if the previous attempt provably
/// did not run.
class Dispatcher {
public:
  explicit Dispatcher(DispatcherOptions options);

  /// Handles a new request of a caller. The reply may be among the effects of
  /// this call.
  RequestNumber requestArrived(RequestArrival arrival, SteadyTime now);

  /// Handles the result of a claim from the replicated state.
  void claimAnswered(const protocol::ClaimResult &result, SteadyTime now);

  /// Handles the end of a dispatch; `answer` is set if and only if the upstream
  /// answered.
  void dispatchEnded(DispatchNumber number, DispatchResult result,
                     AnswerPointer answer, SteadyTime now);

  /// Handles the disconnection of a caller before its reply.
  void callerDisconnected(RequestNumber number, SteadyTime now);

  /// Handles a message from another entry VM.
  void peerMessageReceived(const EntryIncarnation &from,
                           const protocol::RequestPeerMessage &message,
                           SteadyTime now);

  /// Applies changed items of the configuration.
  void configure(const std::vector<protocol::ConfigItem> &items,
                 SteadyTime now);

  /// Stops serving and refuses the requests that are not dispatched yet. Called
  /// internally when the serving lease expires.
  void fence(SteadyTime now);

  /// Extends the serving lease up to `end`; the configuration passed in so far
  /// must be current. An earlier end than the known one is ignored.
  void serveUntil(SteadyTime end, SteadyTime now);

  /// Refuses new requests from now on; accepted requests are completed.
  void drain() { Draining = true; }

  /// Runs due timers. Must be called when the time of `nextWake` is reached and
  /// at least every 50 ms.
  void tick(SteadyTime now);

  /// When the next timer is due.
  std::optional<SteadyTime> nextWake() const;

  /// Returns and clears the pending effects, in order.
  std::vector<RequestEffect> takeEffects() {
    return std::exchange(Effects, {});
  }

  /// Whether there is no request in progress.
  bool idle() const { return Records.empty(); }

  DispatcherCounts counts(SteadyTime now) const;
  const RequestConfig &config() const { return Config; }
  const SlotOwner &slotOwner() const { return Owner; }
  const SlotHolder &slotHolder() const { return Holder; }

private:
  struct Dispatch {
    RequestNumber Request = 0;
    UpstreamIncarnation Upstream;
    std::string Profile;
    bool Patient = false;
    SteadyTime StartedAt{};
  };

  // Admission; see dispatcher_admission.cpp.
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

  // Request life cycle; see dispatcher.cpp.
  void startClaim(RequestRecord &record);
  void claimGranted(RequestRecord &record, SteadyTime now);
  bool claimLater(RequestRecord &record, SteadyTime now);
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

  // Routing; see dispatcher_routing.cpp.
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
  /// Total of the `TriedUpstreams` of all waiting requests.
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
