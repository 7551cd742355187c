#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"
#include "masticwinch/protocol/requests.pb.h"

namespace masticwinch {

/// What the caller of a request is told whose claim was not granted.
struct ClaimRefusal {
  RequestOutcome Outcome = RequestOutcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  /// The stored answer of the earlier sending.
  AnswerPointer FullAnswer;
};

ClaimRefusal refusalOf(const protocol::ClaimResult &result);

} // namespace masticwinch
