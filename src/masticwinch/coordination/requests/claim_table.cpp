#include "masticwinch/coordination/requests/claim_table.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

/// The length prefix prevents collisions between the keys of different callers.
std::string claimMapKey(const protocol::ClaimId &id) {
  return std::to_string(id.caller().size()) + ':' + id.caller() + id.key();
}

bool sameOwner(const protocol::ClaimOwner &a, const protocol::ClaimOwner &b) {
  return a.entry() == b.entry() && a.incarnation() == b.incarnation() &&
         a.request() == b.request();
}

protocol::ClaimResult resultOf(const protocol::ClaimKey &change,
                               protocol::ClaimVerdict verdict) {
  protocol::ClaimResult result;
  result.set_request(change.owner().request());
  result.set_verdict(verdict);
  return result;
}

} // namespace

std::vector<protocol::ClaimResult>
ClaimTable::apply(const protocol::ClaimBatch &batch, std::uint64_t now,
                  const IsMember &isMember) {
  Now = std::max(Now, now);
  expire();
  protocol::ClaimSender &sender = Senders[batch.entry()];
  const auto current = std::make_pair(batch.incarnation(), batch.number());
  const auto last = std::make_pair(sender.incarnation(), sender.number());
  if (current > last) {
    sender.set_entry(batch.entry());
    sender.set_incarnation(batch.incarnation());
    sender.set_number(batch.number());
    sender.clear_results();
    applyChanges(batch, isMember, sender);
  } else if (current < last) {
    return {};
  }
  return {sender.results().begin(), sender.results().end()};
}

void ClaimTable::applyChanges(const protocol::ClaimBatch &batch,
                              const IsMember &isMember,
                              protocol::ClaimSender &sender) {
  for (const protocol::ClaimChange &it : batch.changes()) {
    if (it.has_claim()) {
      *sender.add_results() = claim(it.claim(), isMember);
    } else if (it.has_complete()) {
      complete(it.complete());
    } else if (it.has_release()) {
      release(it.release());
    }
  }
}

protocol::ClaimResult ClaimTable::claim(const protocol::ClaimKey &change,
                                        const IsMember &isMember) {
  const auto found = Records.find(claimMapKey(change.id()));
  if (found != Records.end()) {
    return resultForExisting(found->second, change);
  }
  if (!isMember(change.owner())) {
    return resultOf(change, protocol::CLAIM_OWNER_GONE);
  }
  if (isOutsideWindow(change.made_at_unix_ms())) {
    return resultOf(change, protocol::CLAIM_OUTSIDE_WINDOW);
  }
  if (Records.size() >= Limits.MaxClaims) {
    return resultOf(change, protocol::CLAIM_TABLE_FULL);
  }
  protocol::ClaimRecord record;
  *record.mutable_id() = change.id();
  *record.mutable_owner() = change.owner();
  record.set_body_hash(change.body_hash());
  record.set_claimed_at_unix_ms(Now);
  record.set_state(protocol::CLAIM_IN_PROGRESS);
  insert(std::move(record));
  return resultOf(change, protocol::CLAIM_GRANTED);
}

protocol::ClaimResult
ClaimTable::resultForExisting(StoredClaim &found,
                              const protocol::ClaimKey &change) const {
  const protocol::ClaimRecord &record = found.Record;
  if (record.body_hash() != change.body_hash()) {
    return resultOf(change, protocol::CLAIM_BODY_DIFFERS);
  }
  if (record.state() == protocol::CLAIM_IN_PROGRESS &&
      sameOwner(record.owner(), change.owner())) {
    return resultOf(change, protocol::CLAIM_GRANTED);
  }
  protocol::ClaimResult result = resultOf(change, record.state());
  if (record.has_answer()) {
    *result.mutable_answer() = record.answer();
  }
  return result;
}

ClaimTable::StoredClaim *
ClaimTable::findOwned(const protocol::ClaimId &id,
                      const protocol::ClaimOwner &owner) {
  const auto found = Records.find(claimMapKey(id));
  if (found == Records.end() ||
      found->second.Record.state() == protocol::CLAIM_ANSWERED ||
      !sameOwner(found->second.Record.owner(), owner)) {
    return nullptr;
  }
  return &found->second;
}

void ClaimTable::complete(const protocol::CompleteKey &change) {
  StoredClaim *found = findOwned(change.id(), change.owner());
  if (found == nullptr) {
    return;
  }
  if (!change.has_answer()) {
    found->Record.set_state(protocol::CLAIM_UNKNOWN);
    return;
  }
  found->Record.set_state(protocol::CLAIM_ANSWERED);
  protocol::StoredAnswer &answer = *found->Record.mutable_answer();
  answer = change.answer();
  if (answer.body().size() > Limits.MaxAnswerBytes ||
      AnswerBytes + answer.body().size() > Limits.MaxTotalAnswerBytes) {
    answer.clear_body();
    answer.set_not_kept(true);
  }
  AnswerBytes += answer.body().size();
}

void ClaimTable::release(const protocol::ReleaseKey &change) {
  if (findOwned(change.id(), change.owner()) != nullptr) {
    erase(claimMapKey(change.id()));
  }
}

void ClaimTable::markClaimsUnknown(const std::string &entry,
                                   std::uint64_t incarnation) {
  for (auto &[name, it] : Records) {
    const protocol::ClaimOwner &owner = it.Record.owner();
    if (it.Record.state() == protocol::CLAIM_IN_PROGRESS &&
        owner.entry() == entry && owner.incarnation() <= incarnation) {
      it.Record.set_state(protocol::CLAIM_UNKNOWN);
    }
  }
}

bool ClaimTable::isOutsideWindow(std::uint64_t madeAt) const {
  if (madeAt == 0) {
    return false;
  }
  return madeAt + Limits.WindowMillis <= Now ||
         madeAt > Now + Limits.MaxClockSkewMillis;
}

void ClaimTable::insert(protocol::ClaimRecord record) {
  std::string name = claimMapKey(record.id());
  const ClaimSequence sequence = NextSequence++;
  AnswerBytes += record.answer().body().size();
  ClaimOrder.emplace(sequence, name);
  Records.emplace(std::move(name), StoredClaim{std::move(record), sequence});
}

void ClaimTable::erase(const std::string &name) {
  const auto found = Records.find(name);
  AnswerBytes -= found->second.Record.answer().body().size();
  ClaimOrder.erase(found->second.Sequence);
  Records.erase(found);
}

/// A key created up to the maximum skew ahead of the leader's clock must be
/// kept until its own creation time is outside the window.
void ClaimTable::expire() {
  const std::uint64_t retention =
      Limits.WindowMillis + Limits.MaxClockSkewMillis;
  while (!ClaimOrder.empty()) {
    const std::string name = ClaimOrder.begin()->second;
    const protocol::ClaimRecord &record = Records.at(name).Record;
    if (record.claimed_at_unix_ms() + retention > Now) {
      return;
    }
    erase(name);
  }
}

void ClaimTable::save(protocol::CellSnapshot &snapshot) const {
  for (const auto &[sequence, name] : ClaimOrder) {
    *snapshot.add_claims() = Records.at(name).Record;
  }
  for (const auto &[entry, sender] : Senders) {
    *snapshot.add_claim_senders() = sender;
  }
  snapshot.set_claims_at_unix_ms(Now);
}

void ClaimTable::restore(const protocol::CellSnapshot &snapshot) {
  Records.clear();
  ClaimOrder.clear();
  Senders.clear();
  AnswerBytes = 0;
  Now = snapshot.claims_at_unix_ms();
  for (const protocol::ClaimRecord &it : snapshot.claims()) {
    insert(it);
  }
  for (const protocol::ClaimSender &it : snapshot.claim_senders()) {
    Senders[it.entry()] = it;
  }
}

} // namespace masticwinch
