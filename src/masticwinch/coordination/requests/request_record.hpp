#pragma once

#include "masticwinch/coordination/requests/request_rules.hpp"
#include "masticwinch/coordination/requests/request_types.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {

/// A caller's request as the dispatcher sees it; its body stays at the edge.
struct RequestArrival {
  std::string Profile;
  std::string Caller;
  /// Service that must run it; empty for any upstream.
  std::string Service;
  /// Idempotency key; empty for none.
  std::string Key;
  /// When the key was made, in milliseconds of Unix time; 0 if it doesn't tell.
  std::uint64_t KeyCreatedAt = 0;
  std::uint64_t BodyHash = 0;
  /// The request must not run twice, whatever its profile says.
  bool NotRepeatable = false;
  /// Shortens the profile's deadline.
  std::optional<Milliseconds> Deadline;
};

/// Where a request stands.
enum class RequestStage : std::uint8_t {
  Claiming,
  Waiting,
  BackingOff,
  Dispatched,
  /// Replied, or the caller left; something of it may still run.
  Done,
};

/// All that the dispatcher knows of a request.
struct RequestRecord {
  RequestNumber Number = 0;
  RequestArrival Arrival;
  RequestRules Rules;
  RequestStage Stage = RequestStage::Waiting;
  SteadyTime DeadlineAt{};
  /// End of the time in the queue.
  SteadyTime QueueUntil{};
  /// When a request that backs off waits again.
  SteadyTime RetryAt{};
  /// When a second sending beside the first may start.
  std::optional<SteadyTime> HedgeAt;
  std::optional<SteadyTime> Timer;
  unsigned Attempts = 0;
  std::set<std::string> TriedUpstreams;
  std::vector<DispatchNumber> ActiveDispatches;
  /// Some sending may have run, or may still run.
  bool MayHaveRun = false;
  bool CallerDisconnected = false;
  bool ClaimPending = false;
  bool ClaimHeld = false;
  /// Upstream that the first failure was counted against.
  std::string FirstFailedUpstream;

  bool keyed() const { return !Arrival.Key.empty(); }
  bool repeatable() const { return Rules.Repeatable && !Arrival.NotRepeatable; }
};

} // namespace masticwinch
