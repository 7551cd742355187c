#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_clock.hpp"
#include "masticwinch/coordination/workflow/runner_orders.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// Timing of the orders to runners.
struct RunnerRegistryOptions {
  /// Lease of everything on a runner. It outlasts a change of leader (0.9 s of
  /// silence, an election and a look) after a look that was about to end, and
  /// is how long a runner that fell silent blocks its tasks.
  Milliseconds Lease{3200};
  /// How long a runner may wait for an end before it answers a look.
  std::uint32_t PollWaitMs = 1000;
  /// Pause between looks at a runner whose tasks end, so that ends are taken
  /// in together.
  Milliseconds PollDelay{25};
  /// Pause before a look or a stop is tried again that got no answer.
  Milliseconds RetryDelay{250};
  /// Between two looks through all runs for stops to be tried again.
  Milliseconds StopRetryInterval{50};
  /// Times that a start is sent before it is given up and stopped.
  std::uint32_t MaxStartAttempts = 4;
  /// A runner that has not answered for this long gets no work.
  Milliseconds MaxAnswerAge{2500};
  /// After it said that it is unwell, or answered nothing, a runner gets no
  /// work for this long.
  Milliseconds UnwellBackoff{1000};
  /// Bound on the delays that the estimate of a runner's clock leaves out.
  Milliseconds ClockUncertainty{150};
};

enum class RunStage : std::uint8_t {
  /// Reserved; the assignment is being stored.
  Reserved,
  /// The order to start may be on its way.
  Starting,
  /// The runner said that it runs.
  Running,
  /// To be stopped, and gone once a look after the stop lists it no more.
  Stopping,
  /// Assigned under an earlier leader; the first look settles it.
  Inherited,
};

/// A run that takes room on a runner.
struct TrackedRun {
  RunStage Stage = RunStage::Reserved;
  ResourceAmounts Needs;
  std::string Payload;
  std::string Ticket;
  std::string Checkpoint;
  std::uint32_t StartAttempts = 0;
  bool CallPending = false;
  /// An order got no answer, so that it may be carried out later.
  bool Unanswered = false;
  SteadyTime NextStopAttempt{};
  /// When the stage was confirmed by the runner; nothing before.
  std::optional<SteadyTime> ConfirmedAt;
  SteadyTime OccupiedSince{};
  /// How long the run is expected to last.
  Milliseconds ExpectedDuration{0};
};

/// What the leader knows of one life of a runner.
struct RunnerEntry {
  protocol::RunnerInfo Info;
  ResourceAmounts Free;
  RunnerClock Clock;
  std::map<RunKey, TrackedRun> Runs;
  /// It answered a look of this leader, so that orders of earlier ones have no
  /// effect any more.
  bool Adopted = false;
  bool Gone = false;
  /// Latest lease end that was sent, on the runner's clock.
  std::int64_t LeaseSentMs = 0;
  /// When leases of earlier leaders are over for sure.
  SteadyTime InheritedLeasesUntil{};
  SteadyTime LastAnswer{};
  SteadyTime UnwellUntil{};
  std::uint64_t LastEndSeen = 0;
  std::uint64_t EndsStored = 0;
  std::uint64_t PollSequence = 0;
  bool PollPending = false;
  SteadyTime PollSentAt{};
  SteadyTime NextPoll{};
  std::uint32_t UnansweredPolls = 0;

  /// The runner's rack, by its labels; empty if it names none.
  std::string rack() const;
  bool hasLabel(const std::string &label) const;
};

/// An end that is to be stored, and its number on the runner; 0 if the runner
/// did not report it.
struct ObservedEnd {
  std::string Runner;
  std::uint64_t Number = 0;
  protocol::EndRun End;
};

/// Orders and observations since the last call.
struct RunnerRegistryEffects {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PollOrder> Polls;
  std::vector<ObservedEnd> Ends;
  /// Runs that runners said to run.
  std::vector<RunKey> Confirmed;
  /// Runners whose life is over.
  std::vector<std::string> Gone;
  bool Deposed = false;
};

/// The runners as one leader sees them: what each holds, its lease, and the
/// orders on their way. A run's room stays reserved until the runner listed its
/// end, a look after a confirmed stop shows that it is not there, or its lease
/// is over on the runner's own clock. State machine without I/O.
class RunnerRegistry {
public:
  /// What a task of a step takes from its runner.
  using NeedsLookup = std::function<ResourceAmounts(const StepKey &)>;

  RunnerRegistry(RunnerRegistryOptions options, NeedsLookup needsOf)
      : Options(options), NeedsOf(std::move(needsOf)) {}

  /// Adds a runner, or takes in what it says anew of itself.
  void add(const protocol::RunnerInfo &info, SteadyTime now);

  /// Adds a run that was assigned under an earlier leader.
  void inherit(const std::string &runner, const RunKey &run,
               const ResourceAmounts &needs);

  /// Ends a runner's life; its runs are lost.
  void remove(const std::string &id);

  void observeClock(const std::string &id, std::int64_t clockMs,
                    SteadyTime now);

  /// Reserves room for a run whose assignment is about to be stored.
  void reserve(const std::string &id, const RunKey &run, TrackedRun trackedRun,
               SteadyTime now);

  /// The assignment is stored; orders the start.
  void start(const std::string &id, const RunKey &run, SteadyTime now);

  /// Orders a stop unless one is ordered already.
  void stop(const std::string &id, const RunKey &run, SteadyTime now);

  void startAnswered(const std::string &id, const RunKey &run,
                     OrderAnswer answer, SteadyTime now);
  void stopAnswered(const std::string &id, const RunKey &run,
                    OrderAnswer answer, SteadyTime now);
  void pollAnswered(const std::string &id, std::uint64_t sequence,
                    const PollAnswer &answer, SteadyTime now);

  /// The end is stored, so that the runner may forget it.
  void endStored(const std::string &id, std::uint64_t number);

  /// Sends what is due and ends the runs of runners that fell silent.
  void tick(SteadyTime now);

  /// Whether the runner may get work.
  bool isUsable(const RunnerEntry &runner, SteadyTime now) const;

  const std::map<std::string, RunnerEntry> &runners() const { return Runners; }
  const RunnerEntry *find(const std::string &id) const;

  RunnerRegistryEffects takeEffects() { return std::exchange(Effects, {}); }

private:
  RunnerEntry *findActive(const std::string &id);
  TrackedRun *trackedRun(const std::string &id, const RunKey &run);
  void release(RunnerEntry &runner, const RunKey &run, protocol::RunEnd how,
               std::uint64_t number, const std::string &checkpoint);
  void releaseAll(RunnerEntry &runner, protocol::RunEnd how);
  void sendStart(RunnerEntry &runner, const RunKey &run, TrackedRun &trackedRun,
                 SteadyTime now);
  void sendStop(RunnerEntry &runner, const RunKey &run, TrackedRun &trackedRun,
                SteadyTime now);
  void sendPoll(RunnerEntry &runner, SteadyTime now);
  void beginStop(TrackedRun &trackedRun, SteadyTime now);
  void processEnded(RunnerEntry &runner, const PollAnswer &answer);
  void processRunning(RunnerEntry &runner, const PollAnswer &answer,
                      SteadyTime now);
  void releaseMissing(RunnerEntry &runner, const PollAnswer &answer);
  void releaseLapsed(RunnerEntry &runner, SteadyTime now);
  std::int64_t extendLease(RunnerEntry &runner, SteadyTime now);

  RunnerRegistryOptions Options;
  NeedsLookup NeedsOf;
  std::map<std::string, RunnerEntry> Runners;
  SteadyTime NextStopRetry{};
  RunnerRegistryEffects Effects;
};

} // namespace masticwinch::workflow
