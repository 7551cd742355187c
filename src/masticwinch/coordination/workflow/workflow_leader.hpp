#pragma once

#include "masticwinch/coordination/workflow/account_limits.hpp"
#include "masticwinch/coordination/workflow/account_shares.hpp"
#include "masticwinch/coordination/workflow/account_tally.hpp"
#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/advice_tracker.hpp"
#include "masticwinch/coordination/workflow/call_delay.hpp"
#include "masticwinch/coordination/workflow/crash_containment.hpp"
#include "masticwinch/coordination/workflow/early_cancellations.hpp"
#include "masticwinch/coordination/workflow/gang_claims.hpp"
#include "masticwinch/coordination/workflow/gang_forecast.hpp"
#include "masticwinch/coordination/workflow/gang_turns.hpp"
#include "masticwinch/coordination/workflow/gathering.hpp"
#include "masticwinch/coordination/workflow/offered_submissions.hpp"
#include "masticwinch/coordination/workflow/outcome_totals.hpp"
#include "masticwinch/coordination/workflow/overdue_share.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/queue_service_rate.hpp"
#include "masticwinch/coordination/workflow/queue_tally.hpp"
#include "masticwinch/coordination/workflow/refused_submissions.hpp"
#include "masticwinch/coordination/workflow/runner_drain.hpp"
#include "masticwinch/coordination/workflow/runner_health.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"
#include "masticwinch/coordination/workflow/size_ranks.hpp"
#include "masticwinch/coordination/workflow/step_planner.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"
#include "masticwinch/coordination/workflow/unauthenticated_calls.hpp"
#include "masticwinch/coordination/workflow/waiting_work.hpp"
#include "masticwinch/coordination/workflow/workflow_event.hpp"
#include "masticwinch/coordination/workflow/workflow_leader_options.hpp"
#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticwinch::workflow {

/// The time at which an input is handled, on the steady and the wall clock.
struct Moment {
  SteadyTime Now{};
  std::uint64_t UnixMs = 0;
};

/// Answers a caller's request; called once.
using AnswerCallback = std::function<void(protocol::WorkflowAnswer)>;

/// Called when a quorum has stored a change; never called if that remains
/// unknown.
using StoredCallback = std::function<void()>;

/// Changes to be stored as one record of the log.
struct ProposedBatch {
  std::uint64_t Number = 0;
  protocol::WorkflowRecord Record;
};

/// Outputs of a leader. None may be sent once another leader has taken over.
struct WorkflowEffects {
  std::vector<ProposedBatch> Batches;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PollOrder> Polls;
  std::vector<AdviceCall> Advice;
  std::vector<WorkflowEvent> Events;
  std::vector<WorkflowOutcome> Outcomes;
  std::vector<AccountOutcome> AccountOutcomes;
  /// What all accounts have running and waiting, once a second; nothing in
  /// between.
  std::optional<std::vector<AccountLoad>> AccountLoads;
};

/// Makes the decisions of one leader: which submissions to accept, where and
/// when to run their steps, and which orders to send to runners. Every decision
/// is stored before it takes effect: an assignment before the start order, an
/// end before the runner may drop it, a submission before the caller is told of
/// its acceptance. Created from the replicated state in each term; the term is
/// part of the fencing token of all orders. State machine without I/O.
class WorkflowLeader {
public:
  WorkflowLeader(const WorkflowLeaderOptions &options,
                 const WorkflowState &state, Moment at);

  /// Tells why nothing can be stored at this moment; empty if it can. New
  /// submissions are refused meanwhile.
  void setLogRefusal(std::string reason) { LogRefusal = std::move(reason); }

  /// States how long the next call has waited in this VM's queue.
  void setCallDelay(Milliseconds delay) { CallDelay = delay; }
  void call(const protocol::WorkflowCall &call, AnswerCallback answer,
            Moment at);

  /// Handles a heartbeat of a runner. `stored` is called once its information
  /// is stored.
  void heartbeat(const protocol::RunnerInfo &info, std::uint64_t sequence,
                 std::int64_t clockMs, StoredCallback stored, Moment at);

  /// Handles the deregistration of a runner that shuts down. One that states no
  /// life is of the known one only if that is draining or states none either.
  /// `stored` is called once the ends of the runner's runs are stored, or after
  /// a while without them.
  void deregister(const RunnerLife &life, StoredCallback stored, Moment at);

  /// Proposes a valid configuration. One that is not newer than the stored one
  /// is acknowledged and ignored.
  void configure(const protocol::CellConfig &config, StoredCallback stored,
                 Moment at);

  void agentSeen(const std::string &address, Moment at);
  void adviceAnswered(const protocol::AdviceResult &result, Moment at);

  void startAnswered(const StartOrder &order, OrderAnswer answer, Moment at);
  void stopAnswered(const StopOrder &order, OrderAnswer answer, Moment at);
  void pollAnswered(const PollOrder &order, const PollAnswer &answer,
                    Moment at);

  /// Handles that a batch is stored and applied to the state.
  void stored(const ProposedBatch &batch, Moment at);

  /// Handles the passage of time.
  void tick(Moment at);

  WorkflowEffects takeEffects(Moment at);

  /// Handles that the last call of takeEffects() took this long until now. If
  /// it included a scheduling pass, the next one is delayed accordingly.
  void effectsTook(SteadyTime::duration took, SteadyTime now);

  const RunnerRegistry &runners() const { return Registry; }
  std::size_t openStepCount() const { return OpenSteps.size(); }

  /// The figures of all client accounts, of at most `AccountTally::MaxAccounts`
  /// of them, and of the work without an account.
  std::vector<AccountLoad> accountLoads(SteadyTime now) const;

private:
  struct SchedulingInfo {
    RankingInput Ranking;
    std::vector<Milliseconds> CriticalPaths;
    std::uint64_t Work = 0;
    SizeClass Size = SizeClass::Rest;
  };
  /// A step that is ready and has tasks left.
  struct OpenStep {
    const Workflow *Parent = nullptr;
    const SchedulingInfo *Info = nullptr;
    /// Tasks whose assignment is being stored.
    std::set<std::uint32_t> InFlight;
    /// Runners on which a run of the step failed; they get no more tasks of it
    /// for a while if others may run it.
    std::set<std::string> FailedRunners;
    SteadyTime LastFailure{};
    /// When the step last failed to start although runners were drained for it,
    /// and how often that happened.
    SteadyTime DrainFailedAt{};
    std::uint32_t FailedDrains = 0;
    /// Number of tasks that can be started, if it has been counted since the
    /// last change of the step's tasks.
    std::optional<std::size_t> Startable;
    /// Since when a task of the step has been suspected of crashing runners.
    std::optional<SteadyTime> SuspectSince;
    /// Of a gang that the last pass tried: whether it holds room.
    Gathering Room = Gathering::NotTried;
  };
  /// Rank among overdue steps; the smallest is tried first.
  struct OverdueRank {
    /// False for the step that runners are drained for.
    bool WithoutDrain = true;
    std::uint64_t SpentByQueue = 0;
    SteadyTime Accepted{};

    auto operator<=>(const OverdueRank &) const = default;
  };
  struct RankedStep {
    StepRank Rank;
    /// Key in OpenSteps.
    const StepKey *Key = nullptr;
    /// Set if the pool's share for overdue steps may be taken for the step.
    std::optional<OverdueRank> Overdue;

    bool operator<(const RankedStep &other) const {
      if (Overdue && other.Overdue && *Overdue != *other.Overdue) {
        return *Overdue < *other.Overdue;
      }
      return Rank != other.Rank ? Rank < other.Rank : *Key < *other.Key;
    }
  };

  /// The usable runners of all pools, with the claims of one scheduling pass.
  struct Fleet {
    struct Pool {
      /// Sorted by id.
      std::vector<const RunnerEntry *> Runners;
      std::uint64_t MilliProcessors = 0;
      /// Free processors at the beginning of the pass, and the runner; most
      /// first.
      std::vector<std::pair<std::int64_t, const RunnerEntry *>>
          ByFreeProcessors;

      /// Returns null if the runner is not usable.
      const RunnerEntry *find(const std::string &id) const;
    };
    std::map<std::string, Pool> Pools;
    /// Resources that gangs hold while they gather room or wait for tickets.
    std::unordered_map<const RunnerEntry *, ResourceAmounts> Claimed;

    /// Runners kept for queues on probation, and for suspects.
    std::unordered_set<const RunnerEntry *> Probation;
    std::unordered_set<const RunnerEntry *> Isolation;

    /// Claimed resources that tasks may use which end by the given time.
    struct Loan {
      SteadyTime Until{};
      ResourceAmounts Amounts;
    };
    std::unordered_map<const RunnerEntry *, std::vector<Loan>> Loans;

    /// Free resources of a runner, without the claimed ones.
    ResourceAmounts freeOn(const RunnerEntry &runner) const;

    /// The same for a task that ends by this time, with what it may borrow.
    ResourceAmounts freeUntil(const RunnerEntry &runner, SteadyTime end) const;
    /// Number of gangs that may still gather room in this pass, and processors
    /// that they may still hold, in thousandths of a core.
    std::size_t GatheringGangs = 0;
    std::int64_t GatherableProcessors = 0;
    /// Whether a gang gathers room already; the first may hold any amount.
    bool AnyGathers = false;
    /// Number of slow ticket renewals that this pass may still request.
    std::size_t SlowRenewals = 0;
    /// What gangs with claims and steps that runners are drained for will use
    /// of their accounts' caps.
    std::unordered_map<std::string, ResourceAmounts> ClaimedOfAccounts;
  };

  // workflow_leader.cpp
  void inheritRuns(Moment at);
  void registerWorkflow(const Workflow &workflow, Moment at);
  void propose(protocol::WorkflowChange change,
               StoredCallback stored = nullptr);
  void logEvent(WorkflowEventKind kind,
                std::vector<std::pair<std::string, std::string>> fields);
  void submit(const protocol::WorkflowCall &call, const QueueRoute &route,
              const std::string &account, AnswerCallback answer, Moment at);
  std::uint64_t expectedProcessors(const std::string &pool) const;
  /// A submission that would end late, and its turn to return.
  struct LateRefusal {
    Milliseconds RetryAfter{0};
    /// Whether it got a turn, kept the one that it had, or has none.
    const char *Turn = "none";
  };
  std::optional<LateRefusal> judge(const protocol::WorkflowSpec &spec,
                                   const protocol::QueueConfig &queue,
                                   const std::string &account,
                                   Milliseconds timeout, bool offered,
                                   Moment at);
  AdmissionInput admissionInput(const protocol::WorkflowSpec &spec,
                                const protocol::QueueConfig &queue,
                                const std::string &account,
                                SteadyTime now) const;

  // workflow_leader_callers.cpp
  std::optional<std::string> identify(const protocol::WorkflowCall &call,
                                      const protocol::QueueConfig &queue);
  const Workflow *findAccessible(const std::string &id,
                                 const std::string &account) const;
  bool isForeign(const std::string &id, const std::string &account) const;
  void answerState(const QueueRoute &route, const std::string &account,
                   const AnswerCallback &answer, Moment at);
  protocol::WorkflowAnswer stateAnswer(const std::string &id) const;
  void answerQueries(const std::string &id);
  void answerOverdueQueries(SteadyTime now);
  template <class Order>
  void addOrders(std::vector<Order> &orders, std::vector<Order> &added);
  std::uint32_t connectionsTo(const std::string &runner) const;
  std::uint64_t queuedCount(const std::string &queue, Moment at);
  void cancel(const std::string &id, const std::string &account,
              const AnswerCallback &answer, Moment at);
  void logSubmission(WorkflowEventKind kind, const std::string &account,
                     std::vector<std::pair<std::string, std::string>> fields);
  void reportUnauthenticated(SteadyTime now);

  // workflow_leader_accounts.cpp
  const protocol::Amounts &capOf(const std::string &account) const;
  std::optional<WaitingWork::CappedAccount>
  cappedAccount(const std::string &account) const;
  std::size_t belowCap(const Workflow &workflow, const protocol::StepSpec &step,
                       std::size_t tasks, const Fleet *fleet = nullptr) const;
  std::size_t startableBelowCap(const StepKey &key, const OpenStep &open) const;
  std::unordered_set<const StepKey *> stepsAboveCaps(Moment at);
  void claimOfAccount(const StepKey &key, std::size_t tasks,
                      Fleet &fleet) const;
  std::optional<Milliseconds> retryBelowCap(const AdmissionInput &input,
                                            const protocol::WorkflowSpec &spec,
                                            const std::string &account,
                                            std::uint32_t priority) const;

  // workflow_leader_runners.cpp
  void addMissingRunner(const std::string &id, Moment at);
  void logReborn(const RunnerEntry &known, std::uint64_t bornUnixMs,
                 const char *source);
  bool isRecorded(const protocol::RunnerInfo &info) const;
  const char *outdatedReason(const protocol::RunnerInfo &info,
                             std::uint64_t sequence) const;
  void forgetFormerLife(const std::string &id);
  void acknowledgeDepartures(Moment at);
  void recordRunner(const protocol::RunnerInfo &info,
                    StoredCallback stored = nullptr);
  void forgetRunner(const RunnerLife &life, StoredCallback stored = nullptr);

  // workflow_leader_progress.cpp
  void applied(const protocol::WorkflowChange &change, Moment at);
  void appliedEnd(const protocol::EndRun &end, Moment at);
  void endStored(const std::string &id);
  void appliedAccept(const std::string &id, Moment at);
  void stopAllRuns(const Workflow &workflow, Moment at);
  void stopStepRuns(const StepKey &key, Moment at);
  void refreshSteps(const Workflow &workflow);
  void closeWorkflow(const std::string &id, Moment at);
  void reportOutcome(const Workflow &workflow, Moment at);
  void countOutcome(WorkflowOutcome outcome);
  void closeSteps(const std::string &id);
  void logUntrackedEnd(const ObservedEnd &end);
  void proposeLateEnd(const ObservedEnd &end);
  void collectRegistryEffects(Moment at);
  void handleRemovedRunner(const RunnerLife &life);
  void beginOccurrences(Moment at);
  void forgetEnded(Moment at);
  void forgetRunners(Moment at);

  // workflow_leader_schedule.cpp
  void schedule(Moment at);
  std::vector<RankedStep> rankedSteps(const Fleet &fleet, Moment at);
  std::vector<RankedStep> tryable(std::vector<RankedStep> ranked, Moment at);
  static void limit(std::vector<RankedStep> &steps, std::size_t first,
                    std::size_t inTurn, StepKey &last);
  bool countsAsWaiting(const StepRank &rank, const std::string &queue,
                       bool gang) const;
  void scheduleStep(const RankedStep &ranked, Fleet &fleet, Moment at);
  Fleet usableFleet(Moment at) const;
  std::vector<std::uint32_t> startableTasks(const StepKey &key,
                                            const OpenStep &open,
                                            SteadyTime now) const;
  std::vector<PlanCandidate> candidates(const StepKey &key, bool advised,
                                        const Fleet &fleet,
                                        const Fleet::Pool &pool,
                                        bool withTickets, Moment at) const;
  static bool mayRun(const OpenStep &open, const protocol::StepSpec &spec,
                     const RunnerEntry &runner);
  bool hasOtherRunners(const StepKey &key, bool advised,
                       const Fleet::Pool &pool) const;
  std::optional<PlanCandidate>
  candidateOf(const StepKey &key, const OpenStep &open,
              const protocol::StepSpec &spec, const RunnerEntry &runner,
              const Fleet &fleet, SteadyTime now) const;
  std::size_t startableCount(const StepKey &key, const OpenStep &open) const;
  void assign(const StepKey &key, OpenStep &open, const PlannedRun &planned,
              std::uint32_t run, const std::string &checkpoint, Moment at);

  // workflow_leader_shares.cpp
  std::map<std::string, PoolUse> accountUses() const;
  void rankByShares(std::vector<RankedStep> &ranked, SteadyTime now);
  void countAccepted(const std::string &account);
  void countRefused(const std::string &account, AccountRefusal reason);
  void countEnded(const Workflow &workflow, OutcomeKind outcome);
  void reportAccounts(SteadyTime now);
  void setShares(std::vector<AccountLoad> &loads,
                 const std::set<std::string_view> &pools) const;
  // workflow_leader_overdue.cpp
  std::vector<RankedStep> takeOverdue(std::vector<RankedStep> &late, Moment at);
  bool isOverdue(const StepKey &key, const OpenStep &open, Moment at) const;
  SteadyTime dueAt(const StepKey &key, const OpenStep &open, Moment at) const;
  bool mayTakeShare(const StepKey &key, const std::string &pool) const;
  bool isDrainedFor(const StepKey &key) const;
  bool mayDrain(const OpenStep &open, SteadyTime now) const;
  void endDrain(const std::string &pool, DrainEnd end, SteadyTime now);
  void limitToShare(std::vector<PlannedRun> &planned,
                    const protocol::StepSpec &spec, const std::string &pool,
                    const std::string &queue);
  bool drainRunners(const StepKey &key, std::size_t tasks, bool advised,
                    Fleet &fleet, const std::string &poolName, Moment at);
  std::map<std::string, std::size_t>
  drainPlaces(const StepKey &key, std::size_t tasks, bool advised,
              const Fleet &fleet, const Fleet::Pool &pool, Moment at) const;
  void forgetDrains(SteadyTime now);

  // workflow_leader_gangs.cpp
  void giveTurns(const std::vector<RankedStep> &ranked, const Fleet &fleet,
                 SteadyTime now);
  void restoreClaims(Fleet &fleet);
  void lendClaims(Fleet &fleet, SteadyTime now) const;
  std::optional<GangClaim> releaseClaim(const StepKey &key, Fleet &fleet) const;
  bool gatherRoom(const StepKey &key, const std::vector<std::uint32_t> &tasks,
                  const std::optional<GangClaim> &held, bool advised,
                  Fleet &fleet, const Fleet::Pool &pool, Moment at);
  std::vector<PlannedRun> gatherable(const StepKey &key,
                                     const std::vector<std::uint32_t> &tasks,
                                     const std::optional<GangClaim> &held,
                                     bool advised, const Fleet &fleet,
                                     const Fleet::Pool &pool, Moment at) const;
  std::optional<GangForecast>
  expectedRoom(const StepKey &key, bool advised, std::size_t tasks,
               const Fleet &fleet, const Fleet::Pool &pool, Moment at) const;
  std::optional<GangForecast>
  beginGathering(const StepKey &key, bool advised, std::size_t tasks,
                 std::int64_t milliProcessors, Fleet &fleet,
                 const Fleet::Pool &pool, Moment at);
  void renewForGang(const StepKey &key,
                    const std::map<std::string, std::size_t> *places,
                    const Fleet::Pool &pool, SteadyTime now);
  bool hasApprovedRoom(const StepKey &key, std::size_t tasks,
                       const Fleet::Pool &pool) const;

  // workflow_leader_advice.cpp
  std::vector<std::string>
  adviceCandidates(const StepKey &key, std::size_t tasks, const Fleet &fleet,
                   const Fleet::Pool &pool, SteadyTime now) const;
  bool renewTickets(const StepKey &key, const std::vector<std::uint32_t> &tasks,
                    const Fleet &fleet, const Fleet::Pool &pool, Moment at);
  std::vector<std::string> runnersToRenew(const StepKey &key,
                                          const Fleet::Pool &pool,
                                          SteadyTime now) const;
  void askMoreRunners(const StepKey &key, std::size_t tasks,
                      const Fleet::Pool &pool, Fleet &fleet, Moment at);

  // workflow_leader_crashes.cpp
  void collectLosses(RunnerRegistryEffects &effects, Moment at);
  void appliedCrashes(Moment at);
  void updateSuspicion(const StepKey &key, OpenStep &open, SteadyTime now);
  bool isIsolated(const OpenStep &open, const protocol::StepSpec &spec,
                  SteadyTime now) const;
  bool waitsForFate(const Task &task, SteadyTime now) const;
  void keepApart(Fleet &fleet, SteadyTime now) const;
  bool isConfined(const OpenStep &open, const protocol::StepSpec &spec,
                  const Fleet &fleet, SteadyTime now) const;
  bool isKeptApart(const OpenStep &open, const protocol::StepSpec &spec,
                   const RunnerEntry &runner, const Fleet &fleet,
                   SteadyTime now) const;
  bool mustFollowOthers(const StepKey &key, const OpenStep &open,
                        const protocol::StepSpec &spec,
                        const RunnerEntry &runner, const Fleet &fleet,
                        SteadyTime now) const;
  void countProbation(const Fleet &fleet);
  void reportProbation(const Fleet &fleet, SteadyTime now);

  // workflow_leader_waits.cpp
  void reportWaits(const Fleet &fleet, const std::vector<RankedStep> &tried,
                   Moment at);
  void logPoolLoads(const Fleet &fleet, const std::vector<RankedStep> &tried);
  void logQueueLoads(Moment at);
  void logEndedClaims(SteadyTime now);
  void reportOutcomes(SteadyTime now);
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
  CrashContainment Containment;
  GangClaims Claims;
  GangTurns Turns;
  /// Tasks that were placed on lent room since the last report.
  std::size_t LentStarts = 0;
  OverdueShare Overdue;
  AccountShares Shares;
  AccountTally Accounts;
  /// Entries of the latest report that are not logged yet, last first.
  std::vector<AccountLoad> AccountsToLog;
  /// Pools in which the last pass found no capacity for a step that it tried.
  std::set<std::string> ShortPools;
  /// By pool.
  std::map<std::string, RunnerDrain> Drains;
  const SteadyTime LedSince;
  /// When lost runners were reported, by id.
  std::map<std::string, SteadyTime> LostSince;
  std::map<StepKey, OpenStep> OpenSteps;
  std::map<std::string, SchedulingInfo> Scheduling;
  /// When this leader first saw each ended workflow as ended.
  std::map<std::string, SteadyTime> EndedAt;
  /// The latest heartbeat of a runner; of its known life if `BornUnixMs` is
  /// that of its entry.
  struct LastHeartbeat {
    std::uint64_t BornUnixMs = 0;
    std::uint64_t Sequence = 0;
    SteadyTime At{};
  };
  std::map<std::string, LastHeartbeat> Heartbeats;
  /// Number of announcements of a runner that are being stored; only the last
  /// of them counts.
  std::map<std::string, std::size_t> RecordsBeingStored;
  /// A runner that has deregistered and may still have runs.
  struct Departure {
    RunnerLife Life;
    SteadyTime Since{};
    /// Deregistrations that are not acknowledged yet.
    std::vector<StoredCallback> Waiting;
  };
  std::map<std::string, Departure> Departures;
  std::string LogRefusal;
  Milliseconds CallDelay{0};
  /// Workflows that recur at an interval and have not ended.
  std::set<std::string> Recurring;
  /// Occurrences whose BeginOccurrence change is being stored, by workflow.
  std::map<std::string, std::uint32_t> ProposedOccurrences;
  /// Number of ends of a workflow's runs that are being stored.
  std::unordered_map<std::string, std::size_t> EndsBeingStored;
  /// Queries of running workflows. A caller that asks right after the last task
  /// has ended would otherwise be told of a running workflow and ask again only
  /// after a while.
  struct WaitingQuery {
    AnswerCallback Answer;
    SteadyTime Since;
  };
  std::map<std::string, std::vector<WaitingQuery>> WaitingQueries;
  /// A submission that is being stored, and the callers to answer.
  struct PendingSubmission {
    /// Name of the client account that it is for; empty if there is none.
    std::string Account;
    std::vector<AnswerCallback> Answers;
  };
  std::map<std::string, PendingSubmission> PendingSubmissions;
  EarlyCancellations EarlyCancels;
  UnauthenticatedCalls Unauthenticated;
  SteadyTime NextUnauthenticatedReport{};
  SteadyTime NextCleanup{};
  /// Workflows of which a runner has confirmed a run.
  std::unordered_set<std::string> ConfirmedRunning;
  /// Number of queued workflows by queue, and when they were counted.
  std::unordered_map<std::string, std::uint64_t> QueuedCounts;
  std::optional<SteadyTime> QueuedCountedAt;
  bool SchedulePending = true;
  /// Whether the last call of takeEffects() included a scheduling pass.
  bool PassDone = false;
  SteadyTime NextSchedule{};
  /// Last of the steps that the previous pass tried in turn.
  StepKey LastOnTimeInTurn;
  StepKey LastLateInTurn;
  StepKey LastOverdueInTurn;
  SteadyTime NextWaitReport{};
  QueueTally Tally;
  SizeRanks Sizes;
  OutcomeTotals Outcomes;
  SteadyTime NextOutcomeReport{};
  QueueServiceRate ServiceRate;
  RefusedSubmissions Refused;
  OfferedSubmissions Offered;
  /// Without the steps that can't complete in time.
  WaitingWork Waiting;
  CappedSteps Capped;
  /// Mean processors of a task of the waiting gangs, in thousandths of a core;
  /// 0 before the first gang.
  std::int64_t GangTaskProcessors = 0;
  /// Processors of usable runners by pool, in thousandths of a core.
  std::map<std::string, std::uint64_t> UsableProcessors;
  /// Those of the runners that are kept for queues on probation.
  std::map<std::string, std::uint64_t> ProbationProcessors;
  /// Queues that were on probation in the last pass.
  std::set<std::string> ProbationQueues;
  std::uint64_t NextBatch = 1;
  protocol::WorkflowRecord PendingRecord;
  std::vector<StoredCallback> PendingCallbacks;
  std::map<std::uint64_t, std::vector<StoredCallback>> BatchCallbacks;
  /// Runner and number of the ends that a batch stores.
  std::vector<std::pair<RunnerLife, std::uint64_t>> PendingEnds;
  std::map<std::uint64_t, std::vector<std::pair<RunnerLife, std::uint64_t>>>
      BatchEnds;
  WorkflowEffects Effects;
};

} // namespace masticwinch::workflow
