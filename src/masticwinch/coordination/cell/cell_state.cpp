#include "masticwinch/coordination/cell/cell_state.hpp"

#include "masticwinch/coordination/cell/spec_validation.hpp"

#include <xxhash.h>

namespace masticwinch::cell {

namespace {

protocol::CommandResult refused(protocol::ResultCode code, std::string message,
                                std::string field = "",
                                std::uint64_t version = 0) {
  protocol::CommandResult result;
  result.set_code(code);
  result.set_message(std::move(message));
  result.set_field(std::move(field));
  result.set_version(version);
  return result;
}

protocol::CommandResult invalid(const FieldError &problem) {
  return refused(protocol::INVALID, problem.Field + " " + problem.Reason,
                 problem.Field);
}

/// Hash of the command without its request id, author and time.
std::uint64_t bodyHash(const protocol::Command &command) {
  protocol::Command body = command;
  body.clear_request_id();
  body.clear_author();
  body.clear_at_unix_ms();
  const std::string bytes = body.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

/// Checks the version that a change was based on. Returns the refusal, or
/// nothing if the change may proceed.
std::optional<protocol::CommandResult>
checkExpectedVersion(const protocol::Profile *current, bool anyVersion,
                     std::uint64_t expected) {
  const std::uint64_t version = current == nullptr ? 0 : current->version();
  if (anyVersion && current != nullptr && current->retired()) {
    return refused(protocol::RETIRED,
                   "the profile is retired; name its version to put it back",
                   "expect_version", version);
  }
  if (!anyVersion && expected != version) {
    return refused(protocol::CONFLICT,
                   "the profile's version is " + std::to_string(version) +
                       ", not " + std::to_string(expected),
                   "expect_version", version);
  }
  return std::nullopt;
}

template <class Member>
bool isStale(const Member &current, std::uint64_t incarnation) {
  return incarnation < current.incarnation() ||
         (incarnation == current.incarnation() && current.leaving());
}

/// The policy that a job runs under: the profile's task policy with the job's
/// overrides.
protocol::TaskPolicy effectivePolicy(const protocol::ProfileSpec &profile,
                                     const protocol::JobSpec &job) {
  protocol::TaskPolicy policy = profile.tasks();
  policy.MergeFrom(job.overrides());
  return policy;
}

} // namespace

protocol::CommandResult CellState::apply(const protocol::Command &command) {
  if (command.request_id().empty()) {
    return applyChange(command);
  }
  const std::uint64_t hash = bodyHash(command);
  const RequestKey key{command.author(), command.request_id()};
  if (const protocol::RememberedResult *earlier = ResultCache.find(key)) {
    if (earlier->body_hash() == hash) {
      return earlier->result();
    }
    return refused(protocol::REQUEST_ID_REUSED,
                   "the request id was used for another change", "request_id");
  }
  protocol::RememberedResult remembered;
  remembered.set_request_id(command.request_id());
  remembered.set_author(command.author());
  remembered.set_body_hash(hash);
  remembered.set_at_unix_ms(command.at_unix_ms());
  *remembered.mutable_result() = applyChange(command);
  protocol::CommandResult result = remembered.result();
  ResultCache.store(std::move(remembered));
  return result;
}

protocol::CommandResult
CellState::applyChange(const protocol::Command &command) {
  switch (command.change_case()) {
  case protocol::Command::kPutProfile:
    return putProfile(command);
  case protocol::Command::kRetireProfile:
    return retireProfile(command);
  case protocol::Command::kSetVmPolicy:
    return setVmPolicy(command.set_vm_policy().vm());
  case protocol::Command::kPutTeam:
    return putTeam(command.put_team().team());
  case protocol::Command::kAnnounceUpstream:
    return announceUpstream(command.announce_upstream().upstream());
  case protocol::Command::kLeaveUpstream:
    return leaveUpstream(command.leave_upstream());
  case protocol::Command::kJoinEntry:
    return joinEntry(command.join_entry().entry());
  case protocol::Command::kLeaveEntry:
    return leaveEntry(command.leave_entry());
  case protocol::Command::kYieldEntry:
    return yieldEntry(command.yield_entry());
  case protocol::Command::kSubmitJob:
    return submitJob(command);
  case protocol::Command::kCancelJob:
    return cancelJob(command.cancel_job());
  case protocol::Command::kClaimBatch:
    return applyClaimBatch(command);
  case protocol::Command::kRecordPlacement:
    return recordPlacement(command.record_placement());
  default:
    break;
  }
  return refused(protocol::INVALID, "the command has no change");
}

protocol::CommandResult CellState::accepted(std::uint64_t version) const {
  protocol::CommandResult result;
  result.set_code(protocol::ACCEPTED);
  result.set_version(version);
  result.set_revision(Config.revision());
  return result;
}

protocol::CommandResult
CellState::putProfile(const protocol::Command &command) {
  const protocol::PutProfile &put = command.put_profile();
  if (auto problem = checkName("name", put.name())) {
    return invalid(*problem);
  }
  if (auto problem = checkProfile(put.spec())) {
    return invalid(*problem);
  }
  const protocol::ConfigItem *item =
      Config.find({ConfigKind::Profile, put.name()});
  const protocol::Profile *current = item ? &item->profile() : nullptr;
  if (auto conflict = checkExpectedVersion(current, put.any_version(),
                                           put.expect_version())) {
    return *conflict;
  }
  protocol::Profile profile;
  profile.set_name(put.name());
  profile.set_version(current == nullptr ? 1 : current->version() + 1);
  *profile.mutable_spec() = put.spec();
  return storeProfile(command, std::move(profile));
}

protocol::CommandResult
CellState::retireProfile(const protocol::Command &command) {
  const protocol::RetireProfile &retire = command.retire_profile();
  const protocol::ConfigItem *item =
      Config.find({ConfigKind::Profile, retire.name()});
  if (item == nullptr) {
    return refused(protocol::NOT_FOUND, "no such profile", "name");
  }
  protocol::Profile profile = item->profile();
  if (profile.retired()) {
    return refused(protocol::RETIRED, "the profile is retired already", "name",
                   profile.version());
  }
  if (auto conflict = checkExpectedVersion(&profile, retire.any_version(),
                                           retire.expect_version())) {
    return *conflict;
  }
  profile.set_version(profile.version() + 1);
  profile.set_retired(true);
  return storeProfile(command, std::move(profile));
}

protocol::CommandResult
CellState::storeProfile(const protocol::Command &command,
                        protocol::Profile profile) {
  profile.set_changed_by(command.author());
  profile.set_changed_at_unix_ms(command.at_unix_ms());
  std::deque<protocol::Profile> &history = Histories[profile.name()];
  history.push_back(profile);
  if (history.size() > MaxHistory) {
    history.pop_front();
  }
  const std::uint64_t version = profile.version();
  protocol::ConfigItem item;
  *item.mutable_profile() = std::move(profile);
  Config.put(std::move(item));
  return accepted(version);
}

protocol::CommandResult CellState::setVmPolicy(const protocol::VmPolicy &vm) {
  if (auto problem = checkName("name", vm.name())) {
    return invalid(*problem);
  }
  const protocol::ConfigItem *existing =
      Config.find({ConfigKind::Vm, vm.name()});
  if (existing != nullptr && existing->vm().draining() == vm.draining()) {
    return accepted();
  }
  protocol::ConfigItem item;
  *item.mutable_vm() = vm;
  Config.put(std::move(item));
  return accepted();
}

protocol::CommandResult CellState::putTeam(const protocol::Team &team) {
  if (auto problem = checkName("name", team.name())) {
    return invalid(*problem);
  }
  if (team.weight() > MaxWeight) {
    return invalid({"weight", "must be at most " + std::to_string(MaxWeight)});
  }
  if (auto problem = checkResources("quota", team.quota())) {
    return invalid(*problem);
  }
  protocol::ConfigItem item;
  *item.mutable_team() = team;
  Config.put(std::move(item));
  return accepted();
}

protocol::CommandResult
CellState::announceUpstream(const protocol::Upstream &upstream) {
  if (auto problem = checkName("name", upstream.name())) {
    return invalid(*problem);
  }
  const protocol::ConfigItem *existing =
      Config.find({ConfigKind::Upstream, upstream.name()});
  if (existing != nullptr &&
      isStale(existing->upstream(), upstream.incarnation())) {
    return refused(protocol::STALE,
                   "a later incarnation is known, or this one "
                   "has left",
                   "incarnation");
  }
  if (existing != nullptr && !existing->removed() &&
      existing->upstream().incarnation() == upstream.incarnation()) {
    return accepted();
  }
  protocol::ConfigItem item;
  *item.mutable_upstream() = upstream;
  item.mutable_upstream()->set_leaving(false);
  item.mutable_upstream()->set_returning(existing != nullptr);
  Config.put(std::move(item));
  return accepted();
}

protocol::CommandResult
CellState::leaveUpstream(const protocol::LeaveUpstream &leave) {
  if (auto problem = checkName("name", leave.name())) {
    return invalid(*problem);
  }
  const protocol::ConfigItem *existing =
      Config.find({ConfigKind::Upstream, leave.name()});
  if (existing == nullptr && leave.lapsed()) {
    return refused(protocol::NOT_FOUND, "no such upstream", "name");
  }
  if (existing != nullptr &&
      leave.incarnation() < existing->upstream().incarnation()) {
    return refused(protocol::STALE, "a later incarnation is known",
                   "incarnation");
  }
  const bool sameIncarnation =
      existing != nullptr &&
      existing->upstream().incarnation() == leave.incarnation();
  if (sameIncarnation && existing->removed() &&
      (leave.lapsed() || existing->upstream().leaving())) {
    return accepted();
  }
  protocol::ConfigItem item;
  if (existing != nullptr) {
    *item.mutable_upstream() = existing->upstream();
  }
  item.mutable_upstream()->set_name(leave.name());
  item.mutable_upstream()->set_incarnation(leave.incarnation());
  item.mutable_upstream()->set_leaving(!leave.lapsed());
  item.set_removed(true);
  Config.put(std::move(item));
  return accepted();
}

protocol::CommandResult
CellState::joinEntry(const protocol::EntryMember &entry) {
  if (auto problem = checkName("name", entry.name())) {
    return invalid(*problem);
  }
  const protocol::ConfigItem *existing =
      Config.find({ConfigKind::Entry, entry.name()});
  if (existing != nullptr && isStale(existing->entry(), entry.incarnation())) {
    return refused(protocol::STALE,
                   "a later incarnation is known, or this one "
                   "has left",
                   "incarnation");
  }
  const bool member = existing != nullptr && !existing->removed() &&
                      existing->entry().incarnation() == entry.incarnation();
  if (member && !entry.leaving()) {
    return accepted();
  }
  protocol::ConfigItem item;
  *item.mutable_entry() = entry;
  item.mutable_entry()->set_leaving(member && entry.leaving());
  item.mutable_entry()->set_yielded(member && existing->entry().yielded());
  Config.put(std::move(item));
  Claims.markClaimsUnknown(entry.name(), entry.incarnation() - 1);
  return accepted();
}

protocol::CommandResult
CellState::applyClaimBatch(const protocol::Command &command) {
  const auto isMember = [this](const protocol::ClaimOwner &owner) {
    const protocol::ConfigItem *existing =
        Config.findPresent({ConfigKind::Entry, owner.entry()});
    return existing != nullptr &&
           existing->entry().incarnation() == owner.incarnation();
  };
  protocol::CommandResult result = accepted();
  for (protocol::ClaimResult &it :
       Claims.apply(command.claim_batch(), command.at_unix_ms(), isMember)) {
    *result.add_claims() = std::move(it);
  }
  return result;
}

protocol::CommandResult
CellState::leaveEntry(const protocol::LeaveEntry &leave) {
  const protocol::ConfigItem *existing =
      Config.findPresent({ConfigKind::Entry, leave.name()});
  if (existing == nullptr) {
    return refused(protocol::NOT_FOUND, "no such entry VM", "name");
  }
  if (existing->entry().incarnation() != leave.incarnation()) {
    return refused(protocol::STALE, "another incarnation is known",
                   "incarnation");
  }
  protocol::ConfigItem item = *existing;
  item.mutable_entry()->set_leaving(!leave.lapsed());
  item.set_removed(true);
  Config.put(std::move(item));
  Claims.markClaimsUnknown(leave.name(), leave.incarnation());
  return accepted();
}

protocol::CommandResult
CellState::yieldEntry(const protocol::YieldEntry &change) {
  const protocol::ConfigItem *existing =
      Config.findPresent({ConfigKind::Entry, change.name()});
  if (existing == nullptr) {
    return refused(protocol::NOT_FOUND, "no such entry VM", "name");
  }
  if (existing->entry().incarnation() != change.incarnation()) {
    return refused(protocol::STALE, "another incarnation is known",
                   "incarnation");
  }
  if (existing->entry().yielded() == change.yielded()) {
    return accepted();
  }
  protocol::ConfigItem item = *existing;
  item.mutable_entry()->set_yielded(change.yielded());
  Config.put(std::move(item));
  return accepted();
}

protocol::CommandResult CellState::submitJob(const protocol::Command &command) {
  const protocol::JobSpec &spec = command.submit_job().spec();
  const protocol::ConfigItem *profile =
      Config.find({ConfigKind::Profile, spec.profile()});
  if (profile == nullptr) {
    return refused(protocol::NOT_FOUND, "no such profile", "profile");
  }
  if (profile->profile().retired()) {
    return refused(protocol::RETIRED, "the profile is retired", "profile",
                   profile->profile().version());
  }
  if (!spec.team().empty() &&
      Config.findPresent({ConfigKind::Team, spec.team()}) == nullptr) {
    return refused(protocol::NOT_FOUND, "no such team", "team");
  }
  const protocol::TaskPolicy policy =
      effectivePolicy(profile->profile().spec(), spec);
  if (auto problem = checkJob(spec, policy)) {
    return invalid(*problem);
  }
  protocol::JobRecord record;
  record.set_id("job-" + std::to_string(NextJob++));
  *record.mutable_spec() = spec;
  if (spec.team().empty()) {
    record.mutable_spec()->set_team(profile->profile().spec().team());
  }
  *record.mutable_policy() = policy;
  record.set_submitted_at_unix_ms(command.at_unix_ms());
  record.set_submitted_by(command.author());
  protocol::CommandResult result = accepted();
  result.set_job(record.id());
  Jobs[record.id()] = std::move(record);
  return result;
}

protocol::CommandResult
CellState::cancelJob(const protocol::CancelJob &cancel) {
  const auto it = Jobs.find(cancel.job());
  if (it == Jobs.end()) {
    return refused(protocol::NOT_FOUND, "no such job", "job");
  }
  it->second.set_cancelled(true);
  protocol::CommandResult result = accepted();
  result.set_job(cancel.job());
  return result;
}

protocol::ProfileHistory
CellState::profileHistory(const std::string &name) const {
  protocol::ProfileHistory history;
  history.set_name(name);
  const auto it = Histories.find(name);
  if (it != Histories.end()) {
    for (const protocol::Profile &version : it->second) {
      *history.add_versions() = version;
    }
  }
  return history;
}

protocol::CellSnapshot CellState::snapshot() const {
  protocol::CellSnapshot snapshot;
  snapshot.set_revision(Config.revision());
  for (const protocol::ConfigItem *it : Config.changesSince(0)) {
    *snapshot.add_items() = *it;
  }
  for (const protocol::RememberedResult &it : ResultCache.all()) {
    *snapshot.add_remembered() = it;
  }
  for (const auto &it : Jobs) {
    *snapshot.add_jobs() = it.second;
  }
  snapshot.set_next_job(NextJob);
  snapshot.set_longest_worker_lease_ms(LongestWorkerLeaseMs);
  Claims.save(snapshot);
  for (const auto &it : Histories) {
    *snapshot.add_histories() = profileHistory(it.first);
  }
  return snapshot;
}

void CellState::restore(const protocol::CellSnapshot &snapshot) {
  *this = CellState();
  Config.merge({snapshot.items().begin(), snapshot.items().end()}, 0,
               snapshot.revision());
  for (const protocol::RememberedResult &it : snapshot.remembered()) {
    ResultCache.store(it);
  }
  for (const protocol::JobRecord &it : snapshot.jobs()) {
    Jobs[it.id()] = it;
    if (it.ended_order() != 0) {
      EndedJobs[it.ended_order()] = it.id();
    }
  }
  NextJob = std::max<std::uint64_t>(1, snapshot.next_job());
  LongestWorkerLeaseMs = snapshot.longest_worker_lease_ms();
  Claims.restore(snapshot);
  for (const protocol::ProfileHistory &it : snapshot.histories()) {
    Histories[it.name()].assign(it.versions().begin(), it.versions().end());
  }
}

} // namespace masticwinch::cell
