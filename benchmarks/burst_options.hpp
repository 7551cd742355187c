#pragma once

#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace masticwinch::benchmarks {

/// When the age of work begins.
enum class AgeBegin : std::uint8_t {
  Acceptance,
  /// The entry VM received the call that was accepted; a call has to carry it.
  Call,
  /// The caller first sent the work; a call has to carry it.
  FirstSent,
};

/// What the leader decides about calls and work.
struct BurstPolicy {
  std::string Name;
  /// Whether submissions pass `workflow::retryAfter`.
  bool Admits = true;
  workflow::RankingPolicy Ranking = workflow::RankingPolicy::OnTimeFirst;
  /// Whether waiting work is dropped before it starts once it can't end within
  /// the late factor times its objective.
  bool DropsPastDue = false;
  /// Whether waiting work is dropped as soon as its caller is gone. No leader
  /// knows that; it shows what such work costs.
  bool KnowsGoneCallers = false;
  /// Whether answers of runners are handled ahead of calls.
  bool RunnersFirst = false;
  /// Whether a call that has waited longer than `BurstCalls::ResendAfter` is
  /// refused at `LeaderCosts::Refusal`.
  bool RefusesOldCalls = false;
  /// Whether the newest call is handled first.
  bool NewestCallFirst = false;
  /// Whether admission counts all waiting work at any time, instead of the work
  /// that could be on time at the latest pass.
  bool CountsAllWork = false;
  /// When age begins for admission, ranking and dropping.
  AgeBegin Age = AgeBegin::Acceptance;
  /// Whether the newest of the work that can be on time comes first.
  bool NewestWorkFirst = false;
};

/// Processor time of the leader. `Message` stands for a received call or answer
/// and its decision, for each reported end of a run and its record, and for
/// each order sent.
struct LeaderCosts {
  /// Cores that the leader has; the 350-runner site of docs/CAPACITY.md.
  double Cores = 0.4;
  /// Microseconds for a message. docs/CAPACITY.md has 0.23 core on a calm day;
  /// this value makes the model use as much.
  double Message = 40;
  /// Microseconds for a call that is refused for its age without a decision; a
  /// quarter of a message.
  double Refusal = 10;
  /// Microseconds for a pass of scheduling without waiting steps, for each
  /// waiting step that is ranked, and for each step that is tried. Timed passes
  /// of `WorkflowLeader` over 350 runners took 0.2 to 0.4 ms with 3 waiting
  /// steps, 3.0 ms with 132, and 3.4 to 3.8 ms with 280 to 540.
  double Pass = 200;
  double PassPerWaiting = 0.4;
  double PassPerTried = 17;
  /// Microseconds for an order through an entry VM and its answer: a third of
  /// the 0.2 ms of a direct call (`RelayedCallsOptions`). Half of it is a lower
  /// value for `Message`.
  static constexpr double RelayedCall = 67;
};

/// How callers and entry VMs send calls. Times are in seconds.
struct BurstCalls {
  /// Whether a caller that was refused or got no answer sends again.
  bool Resends = true;
  /// How often a caller whose work did not end in time sends it again as new
  /// work.
  std::uint32_t Returns = 1;
  /// An entry VM sends an unanswered call to the leader again after this, until
  /// `AnswerTimeout` ends the call (`EntryGatewayOptions`).
  double ResendAfter = 0.4;
  double AnswerTimeout = 2;
  /// Wait of a caller after its first time-out; doubled up to the maximum, with
  /// a jitter of half of it either way.
  double Backoff = 0.2;
  double MaxBackoff = 5;
  /// Interval at which a caller asks for the state of accepted work.
  double StatusInterval = 1;
};

/// Times of the orders to runners, in seconds, as in `RunnerRegistryOptions`
/// and `RelayedCallsOptions`.
struct BurstOrders {
  double OneWayDelay = 0.002;
  double CommitDelay = 0.012;
  double PollWait = 1;
  double PollDelay = 0.025;
  double RetryDelay = 0.25;
  /// An order without an answer after this counts as unanswered.
  double AnswerTimeout = 0.8;
  std::uint32_t MaxStartAttempts = 4;
  /// A runner whose last answer is older gets no work.
  double MaxAnswerAge = 2.5;
  /// Interval of scheduling passes: 10 ms, and 30 us for each runner.
  double PassInterval = 0.0205;
  std::size_t StepsPerPass = 200;
};

/// Parameters of one run of the burst model. Times are in seconds from the end
/// of the warm-up.
struct BurstOptions {
  BurstPolicy Policy;
  LeaderCosts Costs;
  BurstCalls Calls;
  BurstOrders Orders;
  workflow::AdmissionOptions Admission;
  std::size_t Runners = 350;
  double CoresPerRunner = 32;
  /// Work that arrives outside the burst, as a share of all cores.
  double Load = 0.8;
  double BurstFactor = 3;
  double BurstBegin = 3;
  double BurstEnd = 15;
  double End = 45;
  /// Time before zero at which arrivals begin.
  double WarmUp = 15;
  std::uint64_t Seed = 1;
};

} // namespace masticwinch::benchmarks
