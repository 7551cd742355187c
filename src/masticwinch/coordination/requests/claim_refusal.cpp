#include "masticwinch/coordination/requests/claim_refusal.hpp"

namespace masticwinch {
namespace {

ClaimRefusal storedAnswer(const protocol::StoredAnswer &stored) {
  if (stored.not_kept()) {
    return {RequestOutcome::Unknown, RefusalReason::AnswerNotKept, nullptr};
  }
  Answer answer;
  answer.Status = static_cast<std::uint16_t>(stored.status());
  answer.ContentType = stored.content_type();
  answer.Body = stored.body();
  return {RequestOutcome::Answered, RefusalReason::None,
          std::make_shared<const Answer>(std::move(answer))};
}

} // namespace

/// The request of a key outside the window may have run while the key was
/// inside it, so the outcome is reported as unknown although this attempt is
/// not run.
ClaimRefusal refusalOf(const protocol::ClaimResult &result) {
  switch (result.verdict()) {
  case protocol::CLAIM_ANSWERED:
    return storedAnswer(result.answer());
  case protocol::CLAIM_IN_PROGRESS:
    return {RequestOutcome::Unknown, RefusalReason::InProgress, nullptr};
  case protocol::CLAIM_BODY_DIFFERS:
    return {RequestOutcome::NotRun, RefusalReason::KeyBodyDiffers, nullptr};
  case protocol::CLAIM_OUTSIDE_WINDOW:
    return {RequestOutcome::Unknown, RefusalReason::KeyOutsideWindow, nullptr};
  case protocol::CLAIM_TABLE_FULL:
  case protocol::CLAIM_OWNER_GONE:
    return {RequestOutcome::NotRun, RefusalReason::ClaimsFull, nullptr};
  default:
    return {RequestOutcome::Unknown, RefusalReason::KeyOutcomeUnknown, nullptr};
  }
}

} // namespace masticwinch
