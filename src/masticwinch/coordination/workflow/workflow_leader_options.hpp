#pragma once

#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/advice_tracker.hpp"
#include "masticwinch/coordination/workflow/call_delay.hpp"
#include "masticwinch/coordination/workflow/crash_containment.hpp"
#include "masticwinch/coordination/workflow/gang_turns.hpp"
#include "masticwinch/coordination/workflow/overdue_share.hpp"
#include "masticwinch/coordination/workflow/refused_submissions.hpp"
#include "masticwinch/coordination/workflow/runner_health.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace masticwinch::workflow {

struct WorkflowLeaderOptions {
  RunnerRegistryOptions Runners;
  AdviceTrackerOptions Advice;
  RunnerHealthOptions Health;
  CrashContainmentOptions Containment;
  AdmissionOptions Admission;
  OverdueShareOptions Overdue;
  /// Number of overdue steps that one pass tries first, the longest waiting
  /// ones, and number of others that it tries in turn.
  std::size_t OverdueStepsPerPass = 16;
  std::size_t OverdueStepsInTurnPerPass = 16;
  /// Longest time for which runners are drained for one overdue step, which has
  /// to be expected to find its room within it.
  Milliseconds MaxDrainTime{4000};
  CallDelayOptions CallDelay;
  RefusedSubmissionsOptions Refused;
  /// Minimum interval between two scheduling passes; events in between are
  /// handled in one pass.
  Milliseconds ScheduleInterval{10};
  /// Added to the interval for each runner, since a pass visits all of them.
  std::chrono::microseconds ScheduleIntervalPerRunner{30};
  /// Number of steps that can be on time that one pass tries to place in rank
  /// order, and number of others that it tries in turn, so that steps that fit
  /// nowhere don't keep the rest from being tried.
  std::size_t StepsPerPass = 128;
  std::size_t StepsInTurnPerPass = 32;
  /// The same for late steps. There may be thousands of them after an overload,
  /// and trying them gains little.
  std::size_t LateStepsPerPass = 20;
  std::size_t LateStepsInTurnPerPass = 20;
  /// Largest share of the time that passes may take, in thousandths. The rest
  /// is left for the answers of runners, heartbeats and calls, so that a
  /// backlog that makes passes expensive can't keep the leader from working it
  /// off.
  std::uint32_t MaxPassTimePermille = 250;
  /// How waiting steps are ranked.
  RankingPolicy Ranking = RankingPolicy::OnTimeFirst;
  /// Whether gangs that wait for resources gather room as it becomes free.
  bool GatherForGangs = true;
  /// One waiting gang may gather room for every this many runners.
  std::size_t RunnersPerGatheringGang = 48;
  /// Share of a pool's processors that gangs may hold while they gather room,
  /// in thousandths. These stand idle.
  std::int64_t GatheredPermille = 30;
  /// A gang begins to gather room if all of it is expected to be free within
  /// this time.
  Milliseconds GatherHorizon{2000};
  /// When gangs that need much gather beyond this share.
  GangTurnOptions Turns;
  /// How long a gang lends room that it holds to tasks that end before it is
  /// expected to have all its room. They are taken to last for this share of
  /// their estimates, in thousandths.
  Milliseconds LendFor{2000};
  std::int64_t LoanTimePermille = 1250;
  /// Maximum number of runners whose tickets are renewed for a step that fits
  /// on no runner yet, those that are expected to have room within
  /// `RenewalHorizon` first. As many as one call names.
  std::size_t RunnersPerRenewal = 100;
  Milliseconds RenewalHorizon{1000};
  /// A gang that is expected to fit within this time isn't asked about more
  /// runners.
  Milliseconds AskMoreHorizon{1000};
  /// A gang whose approved runners have room for this many times its tasks when
  /// they are empty is asked about more runners only after a while.
  std::size_t EnoughApprovedRoom = 4;
  /// Number of waiting steps with slow advice whose tickets one pass renews, in
  /// rank order.
  std::size_t SlowRenewals = 24;
  /// Time since the last failure of a step after which its tasks that still
  /// wait may run where it failed, too. Until then, others may have room.
  Milliseconds AvoidFailedFor{2000};
  /// Interval at which ended workflows and lost runners are cleaned up.
  Milliseconds CleanupInterval{1000};
  /// Interval between two reports of the steps that wait longest.
  Milliseconds WaitReportInterval{1000};
  /// Interval between two reports of what became of submissions by size.
  Milliseconds OutcomeReportInterval{5000};
  /// Maximum number of steps in a report, and the minimum time since their
  /// workflow was accepted.
  std::size_t WaitsPerReport = 4;
  Milliseconds MinReportedWait{3000};
  /// Maximum number of queues in a report; those with the longest waits.
  std::size_t QueuesPerReport = 8;
  /// Number of accounts in a report of one second. The accounts to report are
  /// logged over several seconds.
  std::size_t AccountsPerReport = 5;
  /// Time for which a query of a running workflow's state waits for its
  /// completion: somewhat longer than an end takes from the runner to the log.
  Milliseconds QueryWait{50};
  /// The same if ends of the workflow's runs are being stored.
  Milliseconds MaxQueryWait{100};
  /// Maximum age of a cached count of queued workflows.
  Milliseconds QueuedCountMaxAge{300};
  /// Minimum time for which the state of an ended workflow can be queried.
  Milliseconds EndedRetention{150'000};
  /// A runner that has neither sent a heartbeat nor answered for this long is
  /// removed.
  Milliseconds ForgetRunnerAfter{30'000};
  /// Delay after which a submission may be repeated that was refused because
  /// nothing can be stored.
  Milliseconds LogRefusalRetry{1000};
  /// How long the acknowledgement of a deregistration waits for the ends of the
  /// runner's runs.
  Milliseconds DepartureWait{750};
};

} // namespace masticwinch::workflow
