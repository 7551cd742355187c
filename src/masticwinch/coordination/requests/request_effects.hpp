#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"
#include "masticwinch/protocol/requests.pb.h"

#include <string>
#include <variant>

namespace masticwinch {

/// Change a claim in the replicated state. The change is resent until it is
/// acknowledged, in order with the other changes of the same request.
struct ChangeClaim {
  RequestNumber Request = 0;
  protocol::ClaimChange Change;
};

/// Send a request to an upstream.
struct StartDispatch {
  DispatchNumber Number = 0;
  RequestNumber Request = 0;
  std::string Upstream;
  std::string Address;
  Milliseconds Timeout{0};
  /// The slot's lease ends at this time: a dispatch that has not started by
  /// then must not start, and ends as `NotSent`.
  SteadyTime StartBefore{};
  /// Open a new connection instead of reusing one.
  bool FreshConnection = false;
  unsigned Attempt = 1;
};

/// Close the connection of a dispatch. The end of the dispatch is still
/// reported.
struct CancelDispatch {
  DispatchNumber Number = 0;
};

/// Reply to the caller. Emitted exactly once per request, unless the caller
/// disconnected.
struct ReplyToCaller {
  RequestNumber Request = 0;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  unsigned Attempts = 0;
  /// Value of the Retry-After header; 0 to omit it.
  Milliseconds RetryAfter{0};
  /// Set if and only if the outcome is `Answered`.
  AnswerPointer FullAnswer;
};

/// Release the resources of a request, such as its body. No further effect
/// refers to it.
struct DiscardRequest {
  RequestNumber Request = 0;
};

using RequestEffect = std::variant<ChangeClaim, StartDispatch, CancelDispatch,
                                   ReplyToCaller, DiscardRequest, PeerMessage>;

} // namespace masticwinch
