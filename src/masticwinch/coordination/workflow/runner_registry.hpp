#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_clock.hpp"
#include "masticwinch/coordination/workflow/runner_orders.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwinch::workflow {

/// Timing of leases and of the orders to runners.
struct RunnerRegistryOptions {
  /// Length of a runner's lease, which covers all its runs. It has to outlast a
  /// change of leader (0.9 s without heartbeats, an election and a poll) that
  /// begins just before a long poll ends. It is also how long an unreachable
  /// runner blocks its tasks.
  Milliseconds Lease{3200};
  /// The longest lease that a runner accepts. A new life of a runner may have
  /// carried out an order whose lease end was meant for its former clock.
  Milliseconds LongestLease{10'000};
  /// How long a runner may wait for an end before it answers a poll.
  std::uint32_t PollWaitMs = 1000;
  /// Delay before the next poll after one that listed ends, so that ends are
  /// handled in batches.
  Milliseconds PollDelay{25};
  /// A poll acknowledges ends only if it is sent this soon after the runner
  /// gave its answer to the one before. Later, another life is likelier to get
  /// it.
  Milliseconds AcknowledgeWithin{500};
  /// Delay before a poll or stop that got no answer is retried.
  Milliseconds RetryDelay{250};
  /// An order whose outcome has not been reported for this long, beyond the
  /// time for which the runner may hold it, counts as unanswered. Longer than
  /// any transport's own timeout.
  Milliseconds OutcomeTimeout{3000};
  /// Interval at which all runs are checked for stops to retry.
  Milliseconds StopRetryInterval{50};
  /// Number of times that a start is sent before the run is stopped instead.
  std::uint32_t MaxStartAttempts = 4;
  /// A runner whose last answer is older than this gets no work.
  Milliseconds MaxAnswerAge{2500};
  /// How long a runner gets no work after it reported to be unhealthy or did
  /// not answer a start.
  Milliseconds UnwellBackoff{1000};
  /// The longest such time of a runner that closes the connections of orders
  /// again and again. Each time is twice as long as the one before.
  Milliseconds MaxUnwellBackoff{8000};
  /// For so long after a runner closed the connection of an order, polls leave
  /// their connection to the orders: the runner may take no other one.
  Milliseconds ShortPollTime{2000};
  /// Delay between these polls.
  Milliseconds ShortPollDelay{100};
  /// How long the runs of a runner that has deregistered may still end by
  /// themselves before they are stopped.
  Milliseconds LeaveGrace{300};
  /// Upper bound on the transfer delays that the estimate of a runner's clock
  /// ignores.
  Milliseconds ClockUncertainty{150};
};

enum class RunStage : std::uint8_t {
  /// Resources are reserved; the assignment is being stored.
  Reserved,
  /// The assignment is stored; a start order may be in flight.
  Starting,
  /// The runner has confirmed that the run is running.
  Running,
  /// Being stopped; released once a poll after the confirmed stop no longer
  /// lists the run.
  Stopping,
  /// Assigned under an earlier leader or to an earlier life of the runner; the
  /// next poll shows whether it is running.
  Inherited,
};

/// A run that occupies resources of a runner.
struct TrackedRun {
  RunStage Stage = RunStage::Reserved;
  ResourceAmounts Needs;
  /// Name of the client account that the run counts for; empty if there is
  /// none.
  std::string Account;
  std::string Payload;
  std::string Ticket;
  std::string Checkpoint;
  std::uint32_t StartAttempts = 0;
  /// A start or stop order was sent, and its outcome is not known yet.
  bool CallPending = false;
  SteadyTime CallSentAt{};
  /// A start order got no answer, so it may still be carried out, also by a
  /// later life of the runner.
  bool Unanswered = false;
  SteadyTime NextStopAttempt{};
  SteadyTime NextStartAttempt{};
  /// When the runner confirmed the stage; empty before.
  std::optional<SteadyTime> ConfirmedAt;
  /// The runner has confirmed that the run started.
  bool Started = false;
  /// When this leader learned of the start; empty if an earlier one ordered it.
  std::optional<SteadyTime> StartedAt;
  SteadyTime OccupiedSince{};
  /// Estimated duration of the run.
  Milliseconds ExpectedDuration{0};
};

/// What a run of a task occupies on its runner, and the name of the client
/// account that it counts for; empty if there is none.
struct RunTerms {
  ResourceAmounts Needs;
  std::string Account;

  RunTerms(const ResourceAmounts &needs = {}, std::string account = {})
      : Needs(needs), Account(std::move(account)) {}
};

/// State of one life of a runner, as the leader knows it.
struct RunnerEntry {
  protocol::RunnerInfo Info;
  /// Part of the fencing token of all orders to this life.
  std::uint32_t LifeNumber = 0;
  /// Negative if the runner has shrunk below what its runs need.
  ResourceAmounts Free;
  RunnerClock Clock;
  std::map<RunKey, TrackedRun> Runs;
  /// The runner has answered a poll of this leader, so it rejects orders of
  /// earlier leaders.
  bool Adopted = false;
  /// A poll showed this life; what it announces of itself is not known yet.
  bool Unannounced = false;
  bool Gone = false;
  /// It has deregistered and may run on until its lease expires.
  bool Leaving = false;
  SteadyTime LeavingSince{};
  /// Latest lease end that was sent to the runner, on the runner's clock.
  std::int64_t LeaseSentMs = 0;
  /// When the leases granted by earlier leaders have certainly expired.
  SteadyTime InheritedLeasesUntil{};
  SteadyTime LastAnswer{};
  SteadyTime UnwellUntil{};
  Milliseconds Backoff{0};
  /// An order's connection was closed or refused, and none was answered since.
  bool ClosesConnections = false;
  SteadyTime ClosedConnectionAt{};
  std::uint64_t LastEndSeen = 0;
  std::uint64_t EndsStored = 0;
  std::uint64_t PollSequence = 0;
  bool PollPending = false;
  SteadyTime PollSentAt{};
  SteadyTime NextPoll{};
  std::uint32_t FailedPolls = 0;
  /// The runner was reported as lost, maybe by an earlier leader, and not as
  /// resolved since.
  bool Lost = false;
  /// When the runner gave its latest answer to a poll.
  SteadyTime LastPollAnswer{};

  /// The runner's rack, from its labels; empty if there is none.
  std::string rack() const;
  bool hasLabel(const std::string &label) const;
  RunnerLife life() const { return {Info.id(), Info.born_unix_ms()}; }
  /// Whether the runs need more than the runner has.
  bool isOvercommitted() const { return !Free.canFit({}); }
};

/// An end to be stored, and its number on the runner; 0 if the runner did not
/// report the end.
struct ObservedEnd {
  std::string Runner;
  std::uint64_t BornUnixMs = 0;
  std::uint64_t Number = 0;
  protocol::EndRun End;
  /// The runner had confirmed the start of the run.
  bool Started = false;
  /// Set if the run was not tracked, such as after its lease had expired: how
  /// the runner says that it ended. `End` is empty then.
  std::optional<EndedRun> Untracked;
};

/// Orders to a runner whose outcome was not reported in time.
struct OverdueOrders {
  std::string Runner;
  bool Poll = false;
  std::size_t StartsAndStops = 0;
};

/// A run that a runner had confirmed when it was lost.
struct ExposedRun {
  RunKey Run;
  /// How long ago it had started, as far as this leader knows.
  std::optional<Milliseconds> Age;
};

/// A runner that stopped answering, with its confirmed runs.
struct LostRunner {
  RunnerLife Life;
  std::vector<ExposedRun> Runs;
  /// It refused or closed the connection; otherwise a call timed out, which
  /// also happens to runners that run on.
  bool Disconnected = false;
};

/// A life of a runner that answers again or has ended.
struct ResolvedRunner {
  RunnerLife Life;
  bool Crashed = false;
};

/// Orders and observations since the last call of takeEffects().
struct RunnerRegistryEffects {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PollOrder> Polls;
  std::vector<ObservedEnd> Ends;
  std::vector<OverdueOrders> Overdue;
  std::vector<LostRunner> Lost;
  std::vector<ResolvedRunner> Resolved;
  /// Runs that runners have confirmed as running.
  std::vector<RunKey> Confirmed;
  /// Runners that were removed.
  std::vector<RunnerLife> Gone;
  /// Runners of which a poll has shown a life that they have not announced yet.
  std::vector<std::string> Reborn;
  bool Deposed = false;
};

/// The runners that one leader knows, with their runs, leases and pending
/// orders. What is known of a runner belongs to one life of it: a later life
/// keeps only the runs that it may have, until its first poll shows them, and
/// messages of former lives are ignored. The resources of a run stay reserved
/// until the runner lists its end, a poll after a confirmed stop no longer
/// lists the run, or the runner's lease has expired on its own clock. State
/// machine without I/O.
class RunnerRegistry {
public:
  /// Returns the terms of a run of a task of a step.
  using TermsLookup = std::function<RunTerms(const StepKey &)>;

  RunnerRegistry(RunnerRegistryOptions options, TermsLookup termsOf)
      : Options(options), TermsOf(std::move(termsOf)) {}

  /// Adds a runner, updates the information that it announced, or begins its
  /// next life. Has no effect if the information is of a former life.
  void add(const protocol::RunnerInfo &info, SteadyTime now);

  /// Handles that an earlier leader reported the runner as lost.
  void inheritLost(const std::string &id);

  /// Adds a run that was assigned under an earlier leader.
  void inherit(const std::string &runner, const RunKey &run, RunTerms terms);

  /// Handles that a runner deregisters. It gets no further work, its runs are
  /// stopped after a short while and its lease is not renewed; it is removed
  /// once none of its runs is left. A runner that gets no answer to its
  /// deregistration runs on for a while, so its runs end by what it lists, or
  /// when its lease has expired.
  void leave(const std::string &id, SteadyTime now);

  /// Removes a runner of which another incarnation has proven that it has
  /// ended; its runs are lost. Later heartbeats of the same life are outdated.
  void remove(const std::string &id);

  /// Removes a runner that was out of reach for so long that nothing is known
  /// of it any more. It is new when it can be reached again.
  void forget(const std::string &id);

  void observeClock(const std::string &id, std::int64_t clockMs,
                    SteadyTime now);

  /// Reserves resources for a run whose assignment is about to be stored.
  void reserve(const std::string &id, const RunKey &run, TrackedRun trackedRun,
               SteadyTime now);

  /// Sends the start order of a run whose assignment is stored.
  void start(const std::string &id, const RunKey &run, SteadyTime now);

  /// Stops a run unless it is being stopped already.
  void stop(const std::string &id, const RunKey &run, SteadyTime now);

  void startAnswered(const StartOrder &order, OrderAnswer answer,
                     SteadyTime now);
  void stopAnswered(const StopOrder &order, OrderAnswer answer, SteadyTime now);
  void pollAnswered(const PollOrder &order, const PollAnswer &answer,
                    SteadyTime now);

  /// Handles that an end is stored, so that this life of the runner may drop
  /// it.
  void endStored(const RunnerLife &life, std::uint64_t number);

  /// Sends the polls and stops that are due, fails the orders whose outcome is
  /// overdue, and releases the runs of unreachable runners whose leases have
  /// expired.
  void tick(SteadyTime now);

  /// Whether the runner may get new runs.
  bool isUsable(const RunnerEntry &runner, SteadyTime now) const;

  const std::map<std::string, RunnerEntry> &runners() const { return Runners; }
  const RunnerEntry *find(const std::string &id) const;

  /// Sum of what the runs of a client account occupy on all runners, from their
  /// reservation until it is certain that they do not run.
  ResourceAmounts usedBy(const std::string &account) const;

  RunnerRegistryEffects takeEffects() { return std::exchange(Effects, {}); }

private:
  RunnerEntry *findActive(const std::string &id);
  RunnerEntry *findLife(const RunnerLife &life);
  std::uint32_t nextLifeNumber();
  template <class Order>
  void checkFence(const RunnerEntry &runner, const Order &order,
                  OrderAnswer answer);
  void beginLife(RunnerEntry &runner, const protocol::RunnerInfo &info,
                 SteadyTime now);
  void connectionClosed(RunnerEntry &runner, SteadyTime now);
  void retryStart(RunnerEntry &runner, const RunKey &run, TrackedRun &it,
                  SteadyTime now);
  void retryOrders(RunnerEntry &runner, SteadyTime now);
  void pollFailed(RunnerEntry &runner, OrderAnswer answer, SteadyTime now);
  TrackedRun *trackedRun(const std::string &id, const RunKey &run);
  TrackedRun &occupy(RunnerEntry &runner, const RunKey &run,
                     TrackedRun trackedRun);
  void vacate(RunnerEntry &runner, const RunKey &run);
  void release(RunnerEntry &runner, const RunKey &run, protocol::RunEnd how,
               std::uint64_t number, const std::string &checkpoint);
  void releaseAll(RunnerEntry &runner, protocol::RunEnd how);
  void releaseReserved(RunnerEntry &runner);
  void beginLeaving(RunnerEntry &runner, SteadyTime now);
  void stopRuns(RunnerEntry &runner, SteadyTime now);
  void discard(RunnerEntry &runner);
  void reportFormerEnds(const RunnerLife &life, const PollAnswer &answer,
                        SteadyTime now);
  void reportUntracked(const RunnerLife &life, const EndedRun &ended);
  void reportLost(RunnerEntry &runner, SteadyTime lostAt, bool disconnected);
  void reportEnded(RunnerEntry &runner);
  void reportAnswering(RunnerEntry &runner);
  void sendStart(RunnerEntry &runner, const RunKey &run, TrackedRun &trackedRun,
                 SteadyTime now);
  void sendStop(RunnerEntry &runner, const RunKey &run, TrackedRun &trackedRun,
                SteadyTime now);
  bool leavesConnection(const RunnerEntry &runner, SteadyTime now) const;
  void sendPoll(RunnerEntry &runner, SteadyTime now);
  void expireOrders(const std::string &id, RunnerEntry &runner, SteadyTime now);
  void beginStop(TrackedRun &trackedRun, SteadyTime now);
  void processEnded(RunnerEntry &runner, const PollAnswer &answer);
  void processRunning(RunnerEntry &runner, const PollAnswer &answer,
                      SteadyTime now);
  void releaseMissing(RunnerEntry &runner, const PollAnswer &answer,
                      SteadyTime now);
  void releaseLapsed(RunnerEntry &runner, SteadyTime now);
  std::int64_t extendLease(RunnerEntry &runner, SteadyTime now);
  SteadyTime::duration longestDuration(Milliseconds duration) const;

  RunnerRegistryOptions Options;
  TermsLookup TermsOf;
  std::map<std::string, RunnerEntry> Runners;
  /// Of the accounts that have runs.
  std::unordered_map<std::string, ResourceAmounts> UsedByAccount;
  std::uint32_t LastLifeNumber = 0;
  SteadyTime NextStopRetry{};
  RunnerRegistryEffects Effects;
};

} // namespace masticwinch::workflow
