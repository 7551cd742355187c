#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"
#include "masticwinch/protocol/requests.pb.h"

namespace masticwinch {

/// The reply to a caller whose claim was not granted.
struct ClaimRefusal {
  RequestOutcome Outcome = RequestOutcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  /// The stored answer to the earlier request with the same key.
  AnswerPointer FullAnswer;
};

ClaimRefusal refusalOf(const protocol::ClaimResult &result);

} // namespace masticwinch
