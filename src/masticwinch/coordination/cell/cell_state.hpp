#pragma once

#include "masticwinch/coordination/cell/command_result_cache.hpp"
#include "masticwinch/coordination/cell/configuration.hpp"
#include "masticwinch/coordination/requests/claim_table.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace masticwinch::cell {

/// The replicated state of the cell. Every replica applies the same commands in
/// the same order and reaches the same state, so nothing here may read a clock
/// or a random number.
class CellState {
public:
  /// Applies a command and returns its result. A command whose author and
  /// request id were seen before is not applied: the same command gets the
  /// first result again, a different one is refused.
  protocol::CommandResult apply(const protocol::Command &command);

  /// Returns the whole state as a snapshot.
  protocol::CellSnapshot snapshot() const;

  /// Replaces the state with that of a snapshot.
  void restore(const protocol::CellSnapshot &snapshot);

  const Configuration &configuration() const { return Config; }

  /// The stored versions of a profile, oldest first.
  protocol::ProfileHistory profileHistory(const std::string &name) const;

  /// The longest lease that any leader may have granted to a worker.
  std::uint64_t longestWorkerLeaseMs() const { return LongestWorkerLeaseMs; }

  /// Accepted jobs by id.
  const std::map<std::string, protocol::JobRecord> &jobs() const {
    return Jobs;
  }

private:
  protocol::CommandResult applyChange(const protocol::Command &command);
  protocol::CommandResult putProfile(const protocol::Command &command);
  protocol::CommandResult retireProfile(const protocol::Command &command);
  protocol::CommandResult storeProfile(const protocol::Command &command,
                                       protocol::Profile profile);
  protocol::CommandResult setVmPolicy(const protocol::VmPolicy &vm);
  protocol::CommandResult putTeam(const protocol::Team &team);
  protocol::CommandResult announceUpstream(const protocol::Upstream &upstream);
  protocol::CommandResult leaveUpstream(const protocol::LeaveUpstream &leave);
  protocol::CommandResult joinEntry(const protocol::EntryMember &entry);
  protocol::CommandResult leaveEntry(const protocol::LeaveEntry &leave);
  protocol::CommandResult yieldEntry(const protocol::YieldEntry &change);
  protocol::CommandResult submitJob(const protocol::Command &command);
  protocol::CommandResult applyClaimBatch(const protocol::Command &command);
  protocol::CommandResult cancelJob(const protocol::CancelJob &cancel);
  protocol::CommandResult
  recordPlacement(const protocol::RecordPlacement &record);
  void endJob(protocol::JobRecord &record);
  protocol::CommandResult accepted(std::uint64_t version = 0) const;

  static constexpr std::size_t MaxHistory = 32;
  /// Maximum number of ended jobs that are kept for inspection by operators.
  static constexpr std::size_t MaxEndedJobs = 10'000;

  Configuration Config;
  CommandResultCache ResultCache;
  std::map<std::string, std::deque<protocol::Profile>> Histories;
  ClaimTable Claims;
  std::map<std::string, protocol::JobRecord> Jobs;
  std::uint64_t NextJob = 1;
  std::uint64_t LongestWorkerLeaseMs = 0;
  /// Ended jobs that are still kept, in the order in which they ended.
  std::map<std::uint64_t, std::string> EndedJobs;
};

} // namespace masticwinch::cell
