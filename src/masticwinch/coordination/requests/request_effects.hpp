#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"
#include "masticwinch/protocol/requests.pb.h"

#include <string>
#include <variant>

namespace masticwinch {

/// Have a claim changed in the replicated state. It is sent again until it is
/// answered, in order with the other changes of the same request.
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
  /// After this time the slot is no longer held: the dispatch is not started,
  /// and ends as `NotSent`.
  SteadyTime StartBefore{};
  /// Use no connection that an earlier request used.
  bool FreshConnection = false;
  unsigned Attempt = 1;
};

/// Close the connection of a dispatch; it still ends by its result.
struct CancelDispatch {
  DispatchNumber Number = 0;
};

/// Answer the caller. Given exactly once for each request whose caller is
/// there.
struct ReplyToCaller {
  RequestNumber Request = 0;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  unsigned Attempts = 0;
  /// When to come back; 0 to say nothing.
  Milliseconds RetryAfter{0};
  /// Set if and only if the outcome is `Answered`.
  AnswerPointer FullAnswer;
};

/// Nothing more will come of a request: its body can be dropped.
struct DiscardRequest {
  RequestNumber Request = 0;
};

using RequestEffect = std::variant<ChangeClaim, StartDispatch, CancelDispatch,
                                   ReplyToCaller, DiscardRequest, PeerMessage>;

} // namespace masticwinch
