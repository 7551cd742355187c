#pragma once

#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/advice_tracker.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/runner_health.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"
#include "masticwinch/coordination/workflow/step_planner.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"
#include "masticwinch/coordination/workflow/workflow_event.hpp"
#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticwinch::workflow {

struct WorkflowLeaderOptions {
  RunnerRegistryOptions Runners;
  AdviceTrackerOptions Advice;
  RunnerHealthOptions Health;
  AdmissionOptions Admission;
  /// Shortest time between two scheduling passes, in which events gather.
  Milliseconds ScheduleInterval{10};
  /// Added to it for each runner, since a pass goes through all of them.
  std::chrono::microseconds ScheduleIntervalPerRunner{30};
  /// Steps that one pass tries to place, best first.
  std::size_t StepsPerPass = 200;
  /// In which order waiting steps are tried.
  RankingPolicy Ranking = RankingPolicy::OnTimeFirst;
  /// Whether runners are kept for gangs that wait for room.
  bool ReserveForGangs = true;
  /// One waiting gang may keep runners for each so many runners.
  std::size_t RunnersPerReservation = 48;
  /// Runners whose tickets are kept fresh for a step that fits nowhere yet.
  std::size_t RunnersPerRenewal = 40;
  /// Waiting steps with slow advice whose tickets are kept fresh, best first.
  std::size_t SlowRenewals = 8;
  /// Shortest time between two looks for what can be forgotten.
  Milliseconds CleanupInterval{1000};
  /// Between two reports of the steps that wait longest.
  Milliseconds WaitReportInterval{1000};
  /// Steps in such a report, and how long they have waited at least.
  std::size_t WaitsPerReport = 4;
  Milliseconds MinReportedWait{3000};
  /// A count of waiting workflows is used for this long.
  Milliseconds QueuedCountMaxAge{300};
  /// A workflow's end can be asked for at least this long.
  Milliseconds EndedRetention{150'000};
  /// A runner that sent no heartbeat and answered nothing for this long is
  /// forgotten.
  Milliseconds ForgetRunnerAfter{30'000};
};

/// The moment at which something is handled.
struct Moment {
  SteadyTime Now{};
  std::uint64_t UnixMs = 0;
};

/// Answers a caller's request; called once.
using AnswerCallback = std::function<void(protocol::WorkflowAnswer)>;

/// Says that a change is stored by a quorum; never called if it is not known to
/// be.
using StoredCallback = std::function<void()>;

/// Changes to be stored as one record.
struct ProposedBatch {
  std::uint64_t Number = 0;
  protocol::WorkflowRecord Record;
};

/// What a leader wants done. Nothing of it may leave once another leads.
struct WorkflowEffects {
  std::vector<ProposedBatch> Batches;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PollOrder> Polls;
  std::vector<AdviceCall> Advice;
  std::vector<WorkflowEvent> Events;
};

/// The decisions of one leader: which submissions are accepted, which steps run
/// where and when, and what is told to runners. Every decision is stored before
/// its effect: a run before its start, an end before the runner may forget it,
/// a submission before its acceptance is told. Made anew in each term from the
/// replicated state; the term is the fencing token of all orders. State machine
/// without I/O.
class WorkflowLeader {
public:
  WorkflowLeader(const WorkflowLeaderOptions &options,
                 const WorkflowState &state, Moment at);

  void call(const protocol::WorkflowCall &call, AnswerCallback answer,
            Moment at);

  /// A runner announced itself. `stored` follows once all that it said is.
  void heartbeat(const protocol::RunnerInfo &info, std::uint64_t sequence,
                 std::int64_t clockMs, StoredCallback stored, Moment at);

  /// A runner left in an orderly way.
  void deregister(const std::string &id, StoredCallback stored, Moment at);

  /// Stores a valid configuration; one that is not newer is acknowledged and
  /// changes nothing.
  void configure(const protocol::CellConfig &config, StoredCallback stored,
                 Moment at);

  void agentSeen(const std::string &address, Moment at);
  void adviceAnswered(const protocol::AdviceResult &result, Moment at);

  void startAnswered(const StartOrder &order, OrderAnswer answer, Moment at);
  void stopAnswered(const StopOrder &order, OrderAnswer answer, Moment at);
  void pollAnswered(const PollOrder &order, const PollAnswer &answer,
                    Moment at);

  /// A batch is stored, and applied to the state.
  void stored(const ProposedBatch &batch, Moment at);

  /// Handles time that has passed.
  void tick(Moment at);

  WorkflowEffects takeEffects(Moment at);

  const RunnerRegistry &runners() const { return Registry; }
  std::size_t openStepCount() const { return OpenSteps.size(); }

private:
  struct SchedulingInfo {
    RankingInput Ranking;
    std::vector<Milliseconds> CriticalPaths;
    std::uint64_t Work = 0;
  };
  /// A step with tasks to be started.
  struct OpenStep {
    const Workflow *Parent = nullptr;
    const SchedulingInfo *Info = nullptr;
    /// Tasks whose assignment is being stored.
    std::set<std::uint32_t> InFlight;
    /// Runners on which a run of the step failed.
    std::set<std::string> FailedRunners;
  };
  struct RankedStep {
    StepRank Rank;
    StepKey Key;

    auto operator<=>(const RankedStep &) const = default;
  };

  /// The usable runners of all pools, as one scheduling pass sees them.
  struct Fleet {
    struct Pool {
      /// In the order of their ids.
      std::vector<const RunnerEntry *> Runners;
      std::uint64_t MilliProcessors = 0;
      /// Free processors when the pass began, and the runner; most first.
      std::vector<std::pair<std::int64_t, const RunnerEntry *>>
          ByFreeProcessors;

      /// Null if the runner is not usable.
      const RunnerEntry *find(const std::string &id) const;
    };
    std::map<std::string, Pool> Pools;
    /// Runners that are kept for waiting gangs, and for how long.
    std::unordered_map<const RunnerEntry *, Milliseconds> Reserved;
    /// Room set aside for gangs that fit and only wait for their tickets.
    std::unordered_map<const RunnerEntry *, ResourceAmounts> Claimed;

    /// What is free on a runner beside what is set aside.
    ResourceAmounts freeOn(const RunnerEntry &runner) const;
    /// Gangs that runners still may be kept for.
    std::size_t Reservations = 0;
    /// Slow renewals of tickets that this pass still may ask for.
    std::size_t SlowRenewals = 0;
  };

  // workflow_leader.cpp
  void inheritRuns(Moment at);
  void registerWorkflow(const Workflow &workflow, Moment at);
  void propose(protocol::WorkflowChange change,
               StoredCallback stored = nullptr);
  void logEvent(WorkflowEventKind kind,
                std::vector<std::pair<std::string, std::string>> fields);
  void submit(const protocol::WorkflowSpec &sent, const QueueRoute &route,
              AnswerCallback answer, Moment at);
  void answerState(const QueueRoute &route, const AnswerCallback &answer,
                   Moment at);
  std::uint64_t queuedCount(const std::string &queue, Moment at);
  void cancel(const std::string &id, const AnswerCallback &answer);
  bool fitsSomeRunner(const protocol::WorkflowSpec &spec,
                      const std::string &pool) const;
  std::uint64_t expectedProcessors(const std::string &pool) const;
  std::optional<Milliseconds>
  admissionRetryDelay(const protocol::WorkflowSpec &spec,
                      const protocol::QueueConfig &queue) const;

  // workflow_leader_progress.cpp
  void applied(const protocol::WorkflowChange &change, Moment at);
  void appliedEnd(const protocol::EndRun &end, Moment at);
  void appliedAccept(const std::string &id, Moment at);
  void stopAllRuns(const Workflow &workflow, Moment at);
  void stopStepRuns(const StepKey &key, Moment at);
  void refreshSteps(const Workflow &workflow);
  void closeWorkflow(const std::string &id, Moment at);
  void closeSteps(const std::string &id);
  void collectRegistryEffects(Moment at);
  void handleRemovedRunner(const std::string &id);
  void beginOccurrences(Moment at);
  void forgetEnded(Moment at);
  void forgetRunners(Moment at);

  // workflow_leader_schedule.cpp
  void schedule(Moment at);
  std::vector<RankedStep> rankedSteps(Moment at);
  void scheduleStep(const StepKey &key, Fleet &fleet, Moment at);
  void askMoreRunners(const StepKey &key, std::size_t tasks,
                      const Fleet::Pool &pool, Fleet &fleet, Moment at);
  Fleet usableFleet(Moment at) const;
  std::vector<std::uint32_t> startableTasks(const StepKey &key,
                                            const OpenStep &open) const;
  std::vector<PlanCandidate> candidates(const StepKey &key, bool advised,
                                        const Fleet &fleet,
                                        const Fleet::Pool &pool,
                                        bool withTickets, Moment at) const;
  std::optional<PlanCandidate> candidateOf(const StepKey &key,
                                           const RunnerEntry &runner,
                                           const Fleet &fleet) const;
  bool renewTickets(const StepKey &key, const std::vector<std::uint32_t> &tasks,
                    Fleet &fleet, const Fleet::Pool &pool, Moment at);
  void reserveRunners(const StepKey &key, bool advised, std::size_t tasks,
                      Fleet &fleet, const Fleet::Pool &pool, Moment at) const;
  std::vector<std::string> adviceCandidates(const StepKey &key,
                                            std::size_t tasks,
                                            const Fleet::Pool &pool) const;
  std::size_t startableCount(const StepKey &key, const OpenStep &open) const;
  void assign(const StepKey &key, OpenStep &open, const PlannedRun &planned,
              std::uint32_t run, const std::string &checkpoint, Moment at);

  // workflow_leader_waits.cpp
  void reportWaits(const Fleet &fleet, const std::vector<RankedStep> &tried,
                   Moment at);
  void logWait(const StepKey &key, const Fleet &fleet,
               const std::vector<RankedStep> &tried, Moment at);
  std::size_t fittingTasks(const StepKey &key,
                           const protocol::QueueConfig &queue,
                           const Fleet &fleet, Moment at) const;

  WorkflowLeaderOptions Options;
  const WorkflowState &State;
  RunnerRegistry Registry;
  AdviceTracker Advice;
  RunnerHealth Health;
  std::map<StepKey, OpenStep> OpenSteps;
  std::map<std::string, SchedulingInfo> Scheduling;
  /// When workflows ended, as far as this leader saw it.
  std::map<std::string, SteadyTime> EndedAt;
  std::map<std::string, SteadyTime> LastHeartbeat;
  std::map<std::string, std::uint64_t> HeartbeatSequence;
  /// Workflows that run at set times and are not over.
  std::set<std::string> Recurring;
  /// Occurrences whose beginning is being stored.
  std::map<std::string, std::uint32_t> ProposedOccurrences;
  /// Submissions that are being stored, and who waits for them.
  std::map<std::string, std::vector<AnswerCallback>> PendingSubmissions;
  SteadyTime NextCleanup{};
  /// Workflows of which a runner said to run a task.
  std::unordered_set<std::string> ConfirmedRunning;
  /// Workflows by queue that have not begun, and when they were counted.
  std::unordered_map<std::string, std::uint64_t> QueuedCounts;
  std::optional<SteadyTime> QueuedCountedAt;
  bool SchedulePending = true;
  SteadyTime NextSchedule{};
  SteadyTime NextWaitReport{};
  /// Core-milliseconds of waiting work that can be on time, by priority.
  std::map<std::uint32_t, std::uint64_t> WaitingWork;
  /// Thousandths of a core of usable runners, by pool.
  std::map<std::string, std::uint64_t> UsableProcessors;
  std::uint64_t NextBatch = 1;
  protocol::WorkflowRecord PendingRecord;
  std::vector<StoredCallback> PendingCallbacks;
  std::map<std::uint64_t, std::vector<StoredCallback>> BatchCallbacks;
  /// Numbers of ends on runners that a batch stores.
  std::vector<std::pair<std::string, std::uint64_t>> PendingEnds;
  std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint64_t>>>
      BatchEnds;
  WorkflowEffects Effects;
};

} // namespace masticwinch::workflow
