#pragma once

#include "masticwinch/coordination/requests/request_rules.hpp"
#include "masticwinch/coordination/requests/request_types.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {

/// The attributes of a caller's request that the dispatcher needs; the body
/// stays with the HTTP server.
struct RequestArrival {
  std::string Profile;
  std::string Caller;
  /// Service that must run the request; empty for any upstream.
  std::string Service;
  /// Idempotency key; empty for none.
  std::string Key;
  /// Creation time of the key in milliseconds of Unix time; 0 if the key
  /// doesn't contain it.
  std::uint64_t KeyCreatedAt = 0;
  std::uint64_t BodyHash = 0;
  /// The request must not run twice, regardless of its profile.
  bool NotRepeatable = false;
  /// Deadline set by the caller; can only shorten the profile's deadline.
  std::optional<Milliseconds> Deadline;
};

/// Processing stage of a request.
enum class RequestStage : std::uint8_t {
  Claiming,
  Waiting,
  BackingOff,
  Dispatched,
  /// The reply was sent or the caller disconnected; dispatches may still be
  /// open.
  Done,
};

/// State of a request in the dispatcher.
struct RequestRecord {
  RequestNumber Number = 0;
  RequestArrival Arrival;
  RequestRules Rules;
  RequestStage Stage = RequestStage::Waiting;
  SteadyTime DeadlineAt{};
  /// When the request is refused if it still waits in the queue.
  SteadyTime QueueUntil{};
  /// When the request returns to the queue after its backoff, or claims its key
  /// again.
  SteadyTime RetryAt{};
  /// When a request whose key is in progress stops claiming it.
  std::optional<SteadyTime> ClaimUntil;
  Milliseconds ClaimInterval{0};
  /// When a hedged request may be sent.
  std::optional<SteadyTime> HedgeAt;
  std::optional<SteadyTime> Timer;
  unsigned Attempts = 0;
  std::set<std::string> TriedUpstreams;
  std::vector<DispatchNumber> ActiveDispatches;
  /// An attempt may have run or may still be running.
  bool MayHaveRun = false;
  bool CallerDisconnected = false;
  bool ClaimPending = false;
  bool ClaimHeld = false;
  /// Upstream against which the first failure was recorded.
  std::optional<UpstreamIncarnation> FirstFailedUpstream;

  bool keyed() const { return !Arrival.Key.empty(); }
  bool repeatable() const { return Rules.Repeatable && !Arrival.NotRepeatable; }
};

} // namespace masticwinch
