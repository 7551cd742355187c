#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace masticwinch::workflow {

struct GangTurnOptions {
  /// One gang has a turn for every this many runners. A small fleet has none:
  /// one wide gang may hold any amount there without a turn.
  std::size_t RunnersPerTurn = 175;
  /// There is no more than one turn for every this many wide gangs that wait: a
  /// few find room by themselves, and a turn costs others theirs.
  std::size_t GangsPerTurn = 2;
  /// A gang that needs more than this share of what all gangs together may
  /// hold, in thousandths, is wide: it rarely finds so much left by others.
  std::int64_t WidePermille = 500;
  /// Longest turn, and the pause before the gang may have another one.
  Milliseconds MaxTurn{6000};
  Milliseconds Pause{4000};
};

/// A wide gang that waits and can still be on time.
struct GangTurnRequest {
  StepKey Step;
  /// Time until it has to start to be on time.
  Milliseconds Slack{0};
};

/// Turns of wide gangs to gather room beyond the share of the pool that gangs
/// may hold. Answers the load of a fleet that is full for long: narrow gangs
/// gather all the time, and what they leave of the share is never enough for a
/// wide one. The gang with the most slack goes first, since one that begins
/// late ends late whatever room it gets. State machine without I/O; bounded by
/// the gangs that wait.
class GangTurns {
public:
  explicit GangTurns(GangTurnOptions options = {}) : Options(options) {}

  /// Whether a gang is wide if it needs this much and all gangs together may
  /// hold that much, in thousandths of a core.
  bool isWide(std::int64_t needed, std::int64_t gatherable) const {
    return needed * 1000 >= gatherable * Options.WidePermille;
  }

  /// Ends the turns of gangs that no longer wait or had theirs for too long,
  /// and gives the turns that are free.
  void update(std::vector<GangTurnRequest> requests, std::size_t runners,
              const std::function<bool(const StepKey &)> &waits,
              SteadyTime now);

  bool has(const StepKey &step) const { return Turns.contains(step); }

  std::size_t size() const { return Turns.size(); }

  /// Number of gangs that asked for a turn at the last update and have none.
  std::size_t waiting() const { return Waiting; }

private:
  GangTurnOptions Options;
  /// Since when each gang has its turn.
  std::map<StepKey, SteadyTime> Turns;
  /// When the turn of a gang ended without a start.
  std::map<StepKey, SteadyTime> Pauses;
  std::size_t Waiting = 0;
};

} // namespace masticwinch::workflow
