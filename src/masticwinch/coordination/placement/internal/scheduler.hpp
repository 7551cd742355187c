#pragma once

#include "masticwinch/coordination/placement/internal/gang_planner.hpp"
#include "masticwinch/coordination/placement/internal/placer_state.hpp"
#include "masticwinch/coordination/placement/internal/vm_chooser.hpp"

#include <set>
#include <utility>
#include <vector>

namespace masticwinch::placement::internal {

/// Starts waiting jobs in queue order, where they fit.
class Scheduler {
public:
  explicit Scheduler(PlacerState &state)
      : State(state), Chooser(state), Gangs(state) {}

  /// Runs one round, which stops starting tasks at `Settings.StartsPerStep`.
  /// The last job or gang may exceed that limit.
  void run();

private:
  enum class PlaceResult : std::uint8_t { Placed, NoRoom, OverQuota };

  void runFirstComeFirstServed();
  void runFairShare(Tier tier);
  bool serveTeam(Tier tier, TeamIndex team);
  JobIndex firstJob(Tier tier, TeamIndex team) const;
  bool blocked(TeamIndex team, RequestClass requestClass) const;
  PlaceResult place(JobIndex job);
  PlaceResult placeGang(JobIndex job);
  PlaceResult placeTasks(JobIndex job);
  void recordWaitReason(JobIndex job, PlaceResult result);
  void start(JobIndex job, std::uint32_t task, WorkerIndex vm,
             const Resources &amount);
  WorkerIndex cheapestToPreempt(const Resources &amount);
  void preemptForTasks(JobIndex job, const Resources &amount);
  bool popWaiting(Job &job, std::uint32_t &task);
  bool preempts(const Job &job) const;
  bool reserves(const Job &job) const;

  PlacerState &State;
  VmChooser Chooser;
  GangPlanner Gangs;
  std::uint32_t Started = 0;
  /// For each request class, the generation in which it last found no room.
  std::vector<std::uint64_t> NoRoomIn;
  std::set<std::pair<TeamIndex, RequestClass>> OverQuota;
};

} // namespace masticwinch::placement::internal
