#pragma once

#include "benchmarks/burst_world.hpp"
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace masticwinch::benchmarks {

/// The leader as a server that handles one message or pass at a time, with the
/// library's admission and ranking.
class BurstLeader {
public:
  explicit BurstLeader(BurstWorld &world)
      : World(world), Queue(world.Options.Policy.RunnersFirst,
                            world.Options.Policy.NewestCallFirst),
        Processors(world.Fleet.expectedProcessors(world.Now)),
        NextPass(world.Now) {}

  /// Puts a message into the queue.
  void receive(Message message) {
    Queue.push(std::move(message));
    serve();
  }

  /// Begins the next pass or message. After a pass comes at least one message,
  /// as in the daemon.
  void serve() {
    if (IsBusy) {
      return;
    }
    const bool passDue = World.Now >= NextPass;
    if (passDue && (!LastWasPass || Queue.size() == 0)) {
      Current = {true, false, std::nullopt};
      NextPass = World.Now + World.Options.Orders.PassInterval;
      const std::size_t waiting = Waiting.size();
      begin(World.Options.Costs.Pass +
            World.Options.Costs.PassPerWaiting * double(waiting) +
            World.Options.Costs.PassPerTried *
                double(std::min(waiting, World.Options.Orders.StepsPerPass)));
      return;
    }
    std::optional<Message> message = Queue.pop();
    if (!message) {
      return;
    }
    const bool stale = isStale(*message);
    double cost =
        stale ? World.Options.Costs.Refusal : World.Options.Costs.Message;
    if (message->Kind == MessageKind::Report && isExpected(*message)) {
      cost += World.Options.Costs.Message * double(newEnds(*message));
    }
    Current = {false, stale, std::move(message)};
    begin(cost);
  }

  /// Carries out the pass or message whose processor time is over.
  void finishService() {
    IsBusy = false;
    Service done = std::exchange(Current, {});
    LastWasPass = done.IsPass;
    if (done.IsPass) {
      pass();
      World.Events.add(std::max(World.Now, NextPass), Kind::PassDue);
    } else {
      handle(*done.Received, done.IsStale);
    }
    serve();
  }

  /// Handles that the acceptance of a job is stored.
  void acceptStored(std::uint32_t id) {
    BurstJob &job = World.Jobs[id];
    job.Phase = JobPhase::Accepted;
    World.add(World.Options.Orders.OneWayDelay, Kind::AnswerOk, id, job.Call);
    list(id);
  }

  /// Sends an unanswered start again, and after the last attempt stops the run,
  /// as `RunnerRegistry::startAnswered` does.
  void expireStart(std::uint32_t id, std::uint32_t attempt) {
    BurstRun &run = World.Runs[id];
    if (run.IsConfirmed || run.IsReleased || run.StartAttempts != attempt) {
      return;
    }
    if (attempt < World.Options.Orders.MaxStartAttempts) {
      sendStart(id, 0);
      return;
    }
    World.Outcome.StoppedRuns += 1;
    chargeOrder();
    World.add(World.Options.Orders.OneWayDelay, Kind::RunStops, id);
  }

  /// Sends the next poll to a runner.
  void sendPoll(std::uint32_t id) {
    BurstRunner &runner = World.Fleet.at(id);
    ++runner.Poll;
    runner.PollPending = true;
    chargeOrder();
    World.add(World.Options.Orders.OneWayDelay, Kind::PollArrives, id,
              runner.Poll);
    World.add(World.Options.Orders.PollWait +
                  World.Options.Orders.AnswerTimeout,
              Kind::PollExpires, id, runner.Poll);
  }

  /// The leader takes a poll as unanswered and sends another; an answer to the
  /// first that is still in its queue is ignored.
  void expirePoll(std::uint32_t id, std::uint32_t poll) {
    BurstRunner &runner = World.Fleet.at(id);
    if (runner.PollPending && runner.Poll == poll) {
      runner.PollPending = false;
      World.add(World.Options.Orders.RetryDelay, Kind::PollDue, id);
    }
  }

  std::size_t largestQueue() const { return Queue.largest(); }

private:
  using Kind = BurstEventKind;

  /// What the leader is busy with.
  struct Service {
    bool IsPass = false;
    /// The message is a call that is refused for its age.
    bool IsStale = false;
    std::optional<Message> Received;
  };

  const BurstPolicy &policy() const { return World.Options.Policy; }

  /// Adds the processor time of an order to what the leader does next.
  void chargeOrder() { Debt += World.Options.Costs.Message; }

  /// Whether a report answers a poll that has not expired.
  bool isExpected(const Message &report) {
    const BurstRunner &runner = World.Fleet.at(report.Subject);
    return runner.PollPending && runner.Poll == report.Number;
  }

  /// Number of ends that the leader has not handled.
  std::size_t newEnds(const Message &report) const {
    return std::size_t(std::count_if(
        report.Ended.begin(), report.Ended.end(),
        [this](std::uint32_t id) { return !World.Runs[id].IsReleased; }));
  }

  /// Whether a call is refused for its age.
  bool isStale(const Message &message) const {
    return policy().RefusesOldCalls && message.isCall() &&
           World.Now - message.SentAt > World.Options.Calls.ResendAfter;
  }

  /// Occupies the leader for this processor time and that of orders due.
  void begin(double microseconds) {
    IsBusy = true;
    const double seconds = (microseconds + std::exchange(Debt, 0)) / 1e6;
    if (World.Now < World.Options.BurstBegin &&
        World.Now >= World.Options.BurstBegin - BeforeSeconds) {
      World.Outcome.LeaderBusyBefore += seconds;
    } else if (World.Now >= World.Options.End - BeforeSeconds) {
      World.Outcome.LeaderBusyAfter += seconds;
    }
    World.add(seconds / World.Options.Costs.Cores, Kind::LeaderFree);
  }

  /// Handles a message whose processor time is over.
  void handle(const Message &message, bool stale) {
    switch (message.Kind) {
    case MessageKind::Submit:
      return submit(message, stale);
    case MessageKind::Status:
      return;
    case MessageKind::StartAnswer:
      World.Runs[message.Subject].IsConfirmed = true;
      return;
    case MessageKind::Report:
      return handleReport(message);
    }
  }

  /// Accepts or refuses a job.
  void submit(const Message &message, bool stale) {
    BurstJob &job = World.Jobs[message.Subject];
    if (job.Phase == JobPhase::Accepting) {
      return;
    }
    if (job.Phase != JobPhase::Unknown) {
      World.add(World.Options.Orders.OneWayDelay, Kind::AnswerOk,
                message.Subject, message.Number);
      return;
    }
    if (stale) {
      refuse(message, World.Options.Calls.ResendAfter);
      return;
    }
    if (policy().Admits) {
      if (const auto after = retryDelay(message)) {
        refuse(message, double(after->count()) / 1000);
        return;
      }
    }
    job.Phase = JobPhase::Accepting;
    job.AcceptedAt = World.Now;
    job.AcceptedCallBegan = job.CallBegan;
    if (policy().CountsAllWork) {
      WaitingWork[job.Priority] += job.waitingWork();
    }
    World.add(World.Options.Orders.CommitDelay, Kind::AcceptStored,
              message.Subject, message.Number);
  }

  /// Tells the caller to come back after a time, in seconds.
  void refuse(const Message &message, double after) {
    World.Outcome.Refused += 1;
    World.add(World.Options.Orders.OneWayDelay, Kind::AnswerRefused,
              message.Subject, message.Number, after);
  }

  /// Admission as in `WorkflowLeader::admissionRetryDelay`; a policy that
  /// counts age also counts the time since the caller first sent the work.
  std::optional<Milliseconds> retryDelay(const Message &message) const {
    const BurstJob &job = World.Jobs[message.Subject];
    workflow::AdmissionInput input;
    input.MilliProcessors = Processors;
    for (const auto &[priority, work] : WaitingWork) {
      input.WorkAhead += priority <= job.Priority ? work : 0;
    }
    input.Slack = job.Slack;
    if (policy().Age != AgeBegin::Acceptance) {
      const double since =
          policy().Age == AgeBegin::Call ? job.CallBegan : job.FirstSent;
      input.Slack -= Milliseconds(std::int64_t((World.Now - since) * 1000));
    }
    input.Salt = std::hash<std::uint64_t>()(
        message.Subject * 0x9e3779b97f4a7c15ULL >> 20);
    return workflow::retryAfter(World.Options.Admission, input);
  }

  /// Adds a job to those with tasks that wait.
  void list(std::uint32_t id) {
    BurstJob &job = World.Jobs[id];
    if (!job.IsListed && job.Phase == JobPhase::Accepted) {
      job.IsListed = true;
      Waiting.push_back(id);
      World.Outcome.LargestWaiting =
          std::max(World.Outcome.LargestWaiting, Waiting.size());
    }
  }

  /// A simulated time on the clock of the library.
  static SteadyTime at(double seconds) {
    return SteadyTime(std::chrono::duration_cast<SteadyTime::duration>(
        std::chrono::duration<double>(seconds + 1000)));
  }

  /// When the age of an accepted job begins.
  double ageBegin(const BurstJob &job) const {
    switch (policy().Age) {
    case AgeBegin::Acceptance:
      return job.AcceptedAt;
    case AgeBegin::Call:
      return job.AcceptedCallBegan;
    case AgeBegin::FirstSent:
      return job.FirstSent;
    }
    return job.AcceptedAt;
  }

  /// Whether a waiting job is dropped.
  bool isPastDue(const BurstJob &job, const workflow::StepRank &its) const {
    return (policy().KnowsGoneCallers && job.CallerGone) ||
           (policy().DropsPastDue &&
            its.Forecast == workflow::CompletionForecast::Missed);
  }

  /// Rank of a waiting job under the policy.
  workflow::StepRank rank(const BurstJob &job) const {
    const workflow::RankingInput input{at(ageBegin(job)), job.Objective,
                                       job.Priority};
    workflow::StepRank its =
        workflow::rankOf(input, job.TaskTime, at(World.Now), policy().Ranking);
    if (policy().NewestWorkFirst) {
      // Work that has begun comes before new work.
      const bool hasBegun = job.IdleTasks.size() < job.TaskCount;
      its.Slack =
          hasBegun
              ? Milliseconds(-1)
              : Milliseconds(std::int64_t((World.Now - ageBegin(job)) * 1000));
    }
    return its;
  }

  /// Ranks the waiting jobs, updates the sums of waiting work and places tasks,
  /// as `WorkflowLeader::schedule` does.
  void pass() {
    using Forecast = workflow::CompletionForecast;
    Processors = World.Fleet.expectedProcessors(World.Now);
    WaitingWork.clear();
    Ranked.clear();
    World.Fleet.beginPass();
    std::erase_if(Waiting, [this](std::uint32_t id) {
      BurstJob &job = World.Jobs[id];
      const workflow::StepRank its = rank(job);
      const bool isPast = isPastDue(job, its);
      if (job.IdleTasks.empty() || isPast) {
        job.IsListed = false;
        job.Phase = isPast ? JobPhase::Dropped : job.Phase;
        return true;
      }
      if (its.Forecast == Forecast::OnTime || policy().CountsAllWork) {
        WaitingWork[its.Priority] += job.waitingWork();
      }
      Ranked.emplace_back(its, id);
      return false;
    });
    const std::size_t tried =
        std::min(Ranked.size(), World.Options.Orders.StepsPerPass);
    std::partial_sort(Ranked.begin(), Ranked.begin() + std::ptrdiff_t(tried),
                      Ranked.end());
    for (std::size_t i = 0; i < tried; ++i) {
      place(Ranked[i].second);
    }
  }

  /// Starts tasks of a job while there is room.
  void place(std::uint32_t id) {
    BurstJob &job = World.Jobs[id];
    while (!job.IdleTasks.empty()) {
      const auto runner = World.Fleet.reserve(job.MilliProcessors, World.Now);
      if (!runner) {
        return;
      }
      BurstRun run;
      run.Job = id;
      run.Task = job.IdleTasks.back();
      run.Runner = *runner;
      job.IdleTasks.pop_back();
      World.Runs.push_back(run);
      sendStart(std::uint32_t(World.Runs.size() - 1),
                World.Options.Orders.CommitDelay);
    }
  }

  /// Sends a start order after a delay, in seconds.
  void sendStart(std::uint32_t id, double after) {
    BurstRun &run = World.Runs[id];
    ++run.StartAttempts;
    chargeOrder();
    World.add(after + World.Options.Orders.OneWayDelay, Kind::RunBegins, id,
              run.StartAttempts);
    World.add(after + World.Options.Orders.AnswerTimeout, Kind::StartExpires,
              id, run.StartAttempts);
  }

  /// Handles a runner's answer to a poll, unless the poll has expired.
  void handleReport(const Message &message) {
    if (!isExpected(message)) {
      return;
    }
    BurstRunner &runner = World.Fleet.at(message.Subject);
    runner.PollPending = false;
    runner.LastAnswer = World.Now;
    for (const std::uint32_t it : message.Ended) {
      release(it);
    }
    World.add(message.Ended.empty() ? 0 : World.Options.Orders.PollDelay,
              Kind::PollDue, message.Subject);
  }

  /// Handles the end of a run, once.
  void release(std::uint32_t id) {
    BurstRun &run = World.Runs[id];
    if (std::exchange(run.IsReleased, true)) {
      return;
    }
    BurstJob &job = World.Jobs[run.Job];
    World.Fleet.at(run.Runner).Free += job.MilliProcessors;
    if (!run.IsDone) {
      job.IdleTasks.push_back(run.Task);
      list(run.Job);
    } else if (--job.TasksLeft == 0) {
      complete(job);
    }
  }

  /// Counts a job whose tasks are all done.
  void complete(BurstJob &job) {
    job.Phase = JobPhase::Done;
    const double took = World.Now - job.FirstSent;
    const auto bin =
        std::size_t((World.Now + World.Options.WarmUp) / BurstBinSeconds);
    const double work = job.coreSeconds(job.TaskCount);
    if (took * 1000 <= double(job.Objective.count())) {
      job.Worthless = false;
      World.Outcome.Goodput[bin] += work;
      World.Outcome.JobsOnTime[bin] += 1;
    } else if (took <= job.patience()) {
      job.Worthless = false;
      World.Outcome.Goodput[bin] += LateValue * work;
    }
  }

  /// Value of work that ends late, as a share of its value on time.
  static constexpr double LateValue = 0.2;

  BurstWorld &World;
  LeaderQueue Queue;
  /// Accepted jobs with tasks that wait.
  std::vector<std::uint32_t> Waiting;
  std::vector<std::pair<workflow::StepRank, std::uint32_t>> Ranked;
  /// Core-milliseconds of waiting work by priority, and thousandths of cores of
  /// usable runners, at the latest pass.
  std::map<std::uint32_t, std::uint64_t> WaitingWork;
  std::uint64_t Processors;
  Service Current;
  bool IsBusy = false;
  bool LastWasPass = false;
  double NextPass;
  /// Microseconds of orders that the leader has yet to spend.
  double Debt = 0;
};

} // namespace masticwinch::benchmarks
