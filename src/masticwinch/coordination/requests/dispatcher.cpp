#include "masticwinch/coordination/requests/dispatcher.hpp"

#include "masticwinch/coordination/requests/claim_refusal.hpp"
#include "masticwinch/coordination/requests/claim_table.hpp"

#include <algorithm>
#include <cmath>

namespace masticwinch {

Dispatcher::Dispatcher(DispatcherOptions options)
    : Options(std::move(options)), Owner(Options.Self.Name, Options.Slots),
      Holder(Options.Self, Options.Slots), Health(Options.Ejection),
      Budget(Options.RetryRatio, Options.RetryBurst), Random(Options.Seed) {}

RequestNumber Dispatcher::requestArrived(RequestArrival arrival,
                                         SteadyTime now) {
  checkLease(now);
  const RequestNumber number = ++LastRequest;
  RequestRecord &record = Records[number];
  record.Number = number;
  record.Arrival = std::move(arrival);
  const protocol::RequestPolicy *policy =
      Config.findPolicy(record.Arrival.Profile);
  if (policy != nullptr) {
    record.Rules = Config.rulesFor(*policy);
  }
  record.DeadlineAt =
      now + std::min(record.Rules.Deadline,
                     record.Arrival.Deadline.value_or(record.Rules.Deadline));
  RefusalReason reason = refusalOnArrival(record);
  if (reason == RefusalReason::None && policy == nullptr) {
    reason = Config.isRetired(record.Arrival.Profile)
                 ? RefusalReason::RetiredProfile
                 : RefusalReason::UnknownProfile;
  }
  if (reason != RefusalReason::None) {
    endWithoutAnswer(record, reason, now);
  } else if (record.keyed()) {
    startClaim(record);
  } else {
    admit(record, now);
  }
  dispatchWaiting(now);
  return number;
}

void Dispatcher::startClaim(RequestRecord &record) {
  record.Stage = RequestStage::Claiming;
  record.ClaimPending = true;
  ProfileClaims[record.Arrival.Profile] += 1;
  ChangeClaim effect{record.Number, {}};
  protocol::ClaimKey &claim = *effect.Change.mutable_claim();
  claim.mutable_id()->set_caller(record.Arrival.Caller);
  claim.mutable_id()->set_key(record.Arrival.Key);
  claim.mutable_owner()->set_entry(Options.Self.Name);
  claim.mutable_owner()->set_incarnation(Options.Self.Incarnation);
  claim.mutable_owner()->set_request(record.Number);
  claim.set_body_hash(record.Arrival.BodyHash);
  claim.set_made_at_unix_ms(record.Arrival.KeyCreatedAt);
  Effects.emplace_back(std::move(effect));
  setTimer(record);
}

void Dispatcher::claimAnswered(const protocol::ClaimResult &result,
                               SteadyTime now) {
  const auto found = Records.find(result.request());
  if (found == Records.end() || !found->second.ClaimPending) {
    return;
  }
  RequestRecord &record = found->second;
  record.ClaimPending = false;
  ProfileClaims[record.Arrival.Profile] -= 1;
  if (result.verdict() == protocol::CLAIM_GRANTED) {
    claimGranted(record, now);
  } else if (record.Stage != RequestStage::Done &&
             !(result.verdict() == protocol::CLAIM_IN_PROGRESS &&
               claimLater(record, now))) {
    const ClaimRefusal refusal = refusalOf(result);
    finish(record, refusal.Outcome, refusal.Reason, refusal.FullAnswer, now);
  }
  eraseIfDone(result.request());
  dispatchWaiting(now);
}

void Dispatcher::claimGranted(RequestRecord &record, SteadyTime now) {
  record.ClaimHeld = true;
  if (record.Stage == RequestStage::Done) {
    resolveClaim(record, RequestOutcome::NotRun, nullptr);
    return;
  }
  admit(record, now);
}

/// The caller of the earlier request may have its reply already: the reply
/// doesn't wait until the end of the claim is stored. Returns false when the
/// time for that has passed.
bool Dispatcher::claimLater(RequestRecord &record, SteadyTime now) {
  if (!record.ClaimUntil) {
    record.ClaimUntil = now + Options.InProgressWait;
    record.ClaimInterval = Options.FirstClaimInterval;
  }
  if (now >= *record.ClaimUntil) {
    return false;
  }
  record.RetryAt = std::min(now + record.ClaimInterval, *record.ClaimUntil);
  record.ClaimInterval *= 2;
  setTimer(record);
  return true;
}

void Dispatcher::callerDisconnected(RequestNumber number, SteadyTime now) {
  const auto found = Records.find(number);
  if (found == Records.end() || found->second.Stage == RequestStage::Done) {
    return;
  }
  RequestRecord &record = found->second;
  record.CallerDisconnected = true;
  const bool mustFinish = record.keyed() || !record.repeatable();
  if (record.Stage != RequestStage::Dispatched || !mustFinish) {
    endWithoutAnswer(record, RefusalReason::None, now);
  }
  dispatchWaiting(now);
}

/// Ends a request immediately without an answer and reports whether it may have
/// run. Until the claim of a key is answered, an earlier request with the same
/// key may have run.
void Dispatcher::endWithoutAnswer(RequestRecord &record, RefusalReason reason,
                                  SteadyTime now) {
  const bool keyUnresolved = record.keyed() && !record.ClaimHeld;
  const bool mayRun = record.MayHaveRun || !record.ActiveDispatches.empty();
  finish(record,
         keyUnresolved || mayRun ? RequestOutcome::Unknown
                                 : RequestOutcome::NotRun,
         reason, nullptr, now);
}

void Dispatcher::finish(RequestRecord &record, RequestOutcome outcome,
                        RefusalReason reason, AnswerPointer answer,
                        SteadyTime now) {
  const RequestNumber number = record.Number;
  record.Stage = RequestStage::Done;
  if (Queue.remove(number)) {
    dequeued(record);
  }
  if (record.Timer) {
    Timers.erase({*record.Timer, number});
    record.Timer.reset();
  }
  for (const DispatchNumber it : record.ActiveDispatches) {
    Effects.emplace_back(CancelDispatch{it});
  }
  resolveClaim(record, outcome, answer);
  if (!record.CallerDisconnected) {
    Effects.emplace_back(ReplyToCaller{number, outcome, reason, record.Attempts,
                                       retryAfter(record, reason, now),
                                       std::move(answer)});
  }
  eraseIfDone(number);
}

void Dispatcher::resolveClaim(RequestRecord &record, RequestOutcome outcome,
                              const AnswerPointer &answer) {
  if (!record.ClaimHeld) {
    return;
  }
  record.ClaimHeld = false;
  protocol::ClaimId id;
  id.set_caller(record.Arrival.Caller);
  id.set_key(record.Arrival.Key);
  protocol::ClaimOwner owner;
  owner.set_entry(Options.Self.Name);
  owner.set_incarnation(Options.Self.Incarnation);
  owner.set_request(record.Number);
  ChangeClaim effect{record.Number, {}};
  if (outcome == RequestOutcome::NotRun) {
    *effect.Change.mutable_release()->mutable_id() = id;
    *effect.Change.mutable_release()->mutable_owner() = owner;
  } else {
    protocol::CompleteKey &complete = *effect.Change.mutable_complete();
    *complete.mutable_id() = id;
    *complete.mutable_owner() = owner;
    if (answer != nullptr) {
      complete.mutable_answer()->set_status(answer->Status);
      complete.mutable_answer()->set_content_type(answer->ContentType);
      // A longer body isn't kept, so it is not sent either.
      if (answer->Body.size() <= ClaimTableLimits().MaxAnswerBytes) {
        complete.mutable_answer()->set_body(answer->Body);
      } else {
        complete.mutable_answer()->set_not_kept(true);
      }
    }
  }
  Effects.emplace_back(std::move(effect));
}

void Dispatcher::eraseIfDone(RequestNumber number) {
  const auto found = Records.find(number);
  if (found == Records.end()) {
    return;
  }
  const RequestRecord &record = found->second;
  if (record.Stage == RequestStage::Done && record.ActiveDispatches.empty() &&
      !record.ClaimPending) {
    Records.erase(found);
    Effects.emplace_back(DiscardRequest{number});
  }
}

void Dispatcher::dispatchEnded(DispatchNumber number, DispatchResult result,
                               AnswerPointer answer, SteadyTime now) {
  checkLease(now);
  const auto ended = Dispatches.find(number);
  if (ended == Dispatches.end()) {
    return;
  }
  const Dispatch dispatch = ended->second;
  Dispatches.erase(ended);
  Holder.releaseSlot(dispatch.Upstream.Name, dispatch.Patient);
  ProfileDispatches[dispatch.Profile] -= 1;
  recordResult(dispatch, result, answer, now);
  RequestRecord &record = Records.at(dispatch.Request);
  std::erase(record.ActiveDispatches, number);
  if (record.Stage != RequestStage::Done) {
    if (result == DispatchResult::Answered) {
      finish(record, RequestOutcome::Answered, RefusalReason::None,
             std::move(answer), now);
    } else {
      afterFailure(record, result, now);
    }
  }
  eraseIfDone(dispatch.Request);
  dispatchWaiting(now);
}

void Dispatcher::afterFailure(RequestRecord &record, DispatchResult result,
                              SteadyTime now) {
  if (result != DispatchResult::NotSent &&
      result != DispatchResult::RefusedNotRun) {
    record.MayHaveRun = true;
  }
  if (!record.ActiveDispatches.empty()) {
    return;
  }
  if (!mayRetry(record, now) || !Budget.take()) {
    endWithoutAnswer(record,
                     now >= record.DeadlineAt ? RefusalReason::DeadlinePassed
                                              : RefusalReason::UpstreamsFailed,
                     now);
    return;
  }
  record.Stage = RequestStage::BackingOff;
  record.RetryAt = now + backoff(record.Attempts);
  setTimer(record);
}

bool Dispatcher::mayRetry(const RequestRecord &record, SteadyTime now) const {
  return !record.CallerDisconnected && !Fenced &&
         (record.repeatable() || !record.MayHaveRun) &&
         record.Attempts < record.Rules.MaxAttempts && now < record.DeadlineAt;
}

Milliseconds Dispatcher::backoff(unsigned attempts) {
  constexpr unsigned MaxDoublings = 16;
  const Milliseconds step =
      Options.FirstBackoff * (1U << std::min(attempts - 1, MaxDoublings));
  const Milliseconds longest = std::min(step, Options.LongestBackoff);
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  return Milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(longest.count()) * jitter(Random))));
}

void Dispatcher::setTimer(RequestRecord &record) {
  SteadyTime due = record.DeadlineAt;
  if (record.Stage == RequestStage::Waiting) {
    due = std::min(due, record.QueueUntil);
  } else if (record.Stage == RequestStage::BackingOff ||
             (record.Stage == RequestStage::Claiming && !record.ClaimPending)) {
    due = std::min(due, record.RetryAt);
  } else if (record.Stage == RequestStage::Dispatched && record.HedgeAt) {
    due = std::min(due, *record.HedgeAt);
  }
  if (record.Timer) {
    Timers.erase({*record.Timer, record.Number});
  }
  record.Timer = due;
  Timers.emplace(due, record.Number);
}

void Dispatcher::tick(SteadyTime now) {
  checkLease(now);
  while (!Timers.empty() && Timers.begin()->first <= now) {
    const RequestNumber number = Timers.begin()->second;
    Timers.erase(Timers.begin());
    RequestRecord &record = Records.at(number);
    record.Timer.reset();
    timerFired(record, now);
  }
  send(Owner.tick(now));
  dispatchWaiting(now);
}

void Dispatcher::timerFired(RequestRecord &record, SteadyTime now) {
  if (now >= record.DeadlineAt) {
    endWithoutAnswer(record,
                     record.ClaimPending ? RefusalReason::ClaimTimeout
                                         : RefusalReason::DeadlinePassed,
                     now);
  } else if (record.Stage == RequestStage::Waiting) {
    endWithoutAnswer(record, RefusalReason::QueueTimeout, now);
  } else if (record.Stage == RequestStage::BackingOff) {
    enqueue(record, now);
  } else if (record.Stage == RequestStage::Claiming) {
    startClaim(record);
  } else {
    hedge(record, now);
    setTimer(record);
  }
}

std::optional<SteadyTime> Dispatcher::nextWake() const {
  if (Timers.empty()) {
    return std::nullopt;
  }
  const SteadyTime due = Timers.begin()->first;
  return Queue.size() > 0 && !Fenced
             ? std::min(due, LastDispatchRound + Options.Slots.DemandInterval)
             : due;
}

void Dispatcher::fence(SteadyTime now) {
  Fenced = true;
  ServingUntil = now;
  Owner.suspend();
  refuseWaiting(RefusalReason::NotServing, now);
}

void Dispatcher::refuseWaiting(RefusalReason reason, SteadyTime now) {
  std::vector<RequestNumber> waiting;
  for (const auto &[number, it] : Records) {
    if (it.Stage != RequestStage::Dispatched &&
        it.Stage != RequestStage::Done) {
      waiting.push_back(number);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const RequestNumber it : waiting) {
    endWithoutAnswer(Records.at(it), reason, now);
  }
}

void Dispatcher::serveUntil(SteadyTime end, SteadyTime now) {
  ServingUntil = std::max(ServingUntil, end);
  if (Fenced && now < ServingUntil) {
    Fenced = false;
    send(Owner.resume(Config, now));
  }
  dispatchWaiting(now);
}

void Dispatcher::checkLease(SteadyTime now) {
  if (!Fenced && ServingUntil <= now) {
    fence(now);
  }
}

DispatcherCounts Dispatcher::counts(SteadyTime now) const {
  return {Queue.size(), Dispatches.size(), Health.ejectedCount(),
          Holder.usableSlots(now), Owner.ownedUpstreams()};
}

} // namespace masticwinch
