#pragma once

#include "benchmarks/model_workload.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticwinch::benchmarks {

/// Discrete-event simulation of a leader with generated arrivals, run times,
/// approvals and round trips, on a simulated clock. It has no processes,
/// network or faults; it measures the outcome of the leader's decisions for a
/// workload and their processor time.
class WorkflowModel {
public:
  explicit WorkflowModel(ModelOptions options)
      : Options(std::move(options)), ArrivalEngine(Options.Seed),
        RunTimeEngine(Options.Seed), AccountEngine(Options.Seed) {
    configure();
    addRunners();
    Leader =
        std::make_unique<workflow::WorkflowLeader>(Options.Leader, State, at());
    schedule(Milliseconds(0), [this] { tick(); });
    schedule(Milliseconds(0), [this] { sendAgentHello(); });
    for (const double second : Options.LeaderLostAt) {
      schedule(WarmUpTime + duration(second), [this] { Leader.reset(); });
      schedule(WarmUpTime + duration(second + Options.LeaderlessSeconds),
               [this] { takeOver(); });
    }
    if (Options.LeavingShare > 0) {
      schedule(WarmUpTime + duration(Options.RunnersLeaveAt),
               [this] { removeRunners(); });
    }
    for (std::size_t i = 0; i < Options.Queues.size(); ++i) {
      if (Options.Queues[i].Callers == 0) {
        schedule(WarmUpTime, [this, i] { arrive(i); });
      }
      for (std::size_t n = 0; n < Options.Queues[i].Callers; ++n) {
        schedule(WarmUpTime, [this, i] { submit(i); });
      }
    }
  }

  /// Runs the simulation for 1.6 times the arrival time, so that accepted work
  /// can complete.
  void run() {
    const auto end = Start + WarmUpTime + duration(Options.Seconds * 1.6);
    while (!Events.empty() && Events.begin()->first < end) {
      const auto first = Events.extract(Events.begin());
      Now = first.key();
      first.mapped()();
    }
  }

  const std::map<std::string, ModelOutcome> &outcomes() const {
    return Outcomes;
  }

  /// The submissions to one queue.
  std::vector<ModelServed> submissions(const std::string &queue) const {
    std::vector<ModelServed> found;
    for (const auto &[id, it] : Submitted) {
      if (Options.Queues[it.Queue].Name == queue) {
        found.push_back({it.Work, it.Served, it.Account});
      }
    }
    return found;
  }

  /// Share of the value of all arrivals that was earned; late work earns a
  /// fifth of its value.
  double earnedShare() const {
    double earned = 0;
    double offered = 0;
    for (const ModelQueue &it : Options.Queues) {
      const ModelOutcome &outcome = Outcomes.at(it.Name);
      earned +=
          it.Value * (double(outcome.OnTime) + 0.2 * double(outcome.Late));
      offered += it.Value * double(outcome.Arrived);
    }
    return offered > 0 ? earned / offered : 0;
  }

  /// Processor time that the leader's decisions took, in seconds.
  double decisionSeconds() const { return DecisionSeconds; }
  /// Time that agents spent on calls for advice, by queue.
  const std::map<std::string, double> &adviceSeconds() const {
    return AdviceSeconds;
  }
  double simulatedSeconds() const {
    return std::chrono::duration<double>(Now - Start).count();
  }
  /// Core-seconds used by runs, as a share of those available during the
  /// arrivals.
  double busyShare() const {
    return BusyCoreSeconds / (double(Options.Runners) * Options.CoresPerRunner *
                              (Options.Seconds));
  }

private:
  struct SimRun {
    SteadyTime EndsAt{};
    bool WaitsForMembers = false;
  };
  struct SimRunner {
    std::map<workflow::RunKey, SimRun> Runs;
    std::vector<workflow::EndedRun> Ended;
    std::uint64_t Ends = 0;
    std::optional<workflow::PollOrder> Poll;
    double Speed = 1;
  };
  struct Submission {
    std::size_t Queue = 0;
    std::size_t Account = 0;
    SteadyTime At{};
    double ObjectiveMs = 0;
    std::uint64_t Work = 0;
    bool Started = false;
    bool Done = false;
    bool Served = false;
  };

  static constexpr Milliseconds WarmUpTime{1000};
  static constexpr Milliseconds OneWayDelay{2};
  static constexpr Milliseconds CommitDelay{12};
  static constexpr Milliseconds TickInterval{10};
  static constexpr Milliseconds HelloInterval{500};
  static constexpr Milliseconds ResubmitInterval{200};

  static std::chrono::nanoseconds duration(double seconds) {
    return std::chrono::nanoseconds(std::int64_t(seconds * 1e9));
  }

  workflow::Moment at() const {
    return {Now, std::uint64_t(std::chrono::duration_cast<Milliseconds>(
                                   Now.time_since_epoch())
                                   .count())};
  }

  void schedule(std::chrono::nanoseconds after, std::function<void()> event) {
    Events.emplace(Now +
                       std::chrono::duration_cast<SteadyTime::duration>(after),
                   std::move(event));
  }

  /// Runs a decision and adds to the processor time.
  template <class Function> void decide(Function function) {
    if (!Leader) {
      return;
    }
    const auto begin = std::chrono::steady_clock::now();
    function();
    workflow::WorkflowEffects effects = Leader->takeEffects(at());
    DecisionSeconds +=
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    applyEffects(std::move(effects));
  }

  /// Passes the answer to an order on to the leader that gave it.
  template <class Function>
  void answer(std::uint64_t term, const Function &function) {
    if (term == Term) {
      decide(function);
    }
  }

  void takeOver() {
    ++Term;
    Leader =
        std::make_unique<workflow::WorkflowLeader>(Options.Leader, State, at());
    for (auto &[id, runner] : Runners) {
      runner.Poll.reset();
    }
    decide([&] { Leader->tick(at()); });
  }

  /// Ends the runs of the leaving runners, with the gangs that they belong to,
  /// and deregisters them.
  void removeRunners() {
    const auto every = std::size_t(1 / Options.LeavingShare);
    std::size_t i = 0;
    std::vector<std::string> leaving;
    for (const auto &[id, runner] : Runners) {
      if (i++ % every == 0) {
        leaving.push_back(id);
      }
    }
    for (const std::string &id : leaving) {
      std::set<std::pair<workflow::StepKey, std::uint32_t>> broken;
      for (const auto &[run, it] : Runners[id].Runs) {
        broken.insert({run.Task.Step, run.Run});
      }
      for (auto &[member, runner] : Runners) {
        std::vector<workflow::RunKey> ended;
        for (const auto &[run, it] : runner.Runs) {
          const bool ofGang =
              it.WaitsForMembers && broken.contains({run.Task.Step, run.Run});
          if (member == id || ofGang) {
            ended.push_back(run);
          }
        }
        for (const workflow::RunKey &run : ended) {
          finish(member, run, protocol::RUN_BROKEN);
        }
      }
      decide([&] {
        Leader->deregister(
            {id, 0}, [] {}, at());
      });
    }
  }

  void applyEffects(workflow::WorkflowEffects effects) {
    for (workflow::ProposedBatch &it : effects.Batches) {
      schedule(CommitDelay, [this, term = Term, batch = std::move(it)] {
        const auto begin = std::chrono::steady_clock::now();
        State.apply(batch.Record);
        DecisionSeconds += std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - begin)
                               .count();
        answer(term, [&] { Leader->stored(batch, at()); });
        countCompleted(batch);
      });
    }
    for (const workflow::StartOrder &it : effects.Starts) {
      schedule(OneWayDelay, [this, term = Term, it] { startRun(it, term); });
    }
    for (const workflow::StopOrder &it : effects.Stops) {
      schedule(OneWayDelay, [this, term = Term, it] { stop(it, term); });
    }
    for (const workflow::PollOrder &it : effects.Polls) {
      schedule(OneWayDelay, [this, term = Term, it] { poll(it, term); });
    }
    for (const workflow::AdviceCall &it : effects.Advice) {
      advise(it);
    }
  }

  void tick() {
    decide([&] { Leader->tick(at()); });
    schedule(TickInterval, [this] { tick(); });
  }

  void sendAgentHello() {
    for (std::size_t i = 0; i < Options.Agents; ++i) {
      if (Leader) {
        Leader->agentSeen("agent-" + std::to_string(i), at());
      }
    }
    schedule(HelloInterval, [this] { sendAgentHello(); });
  }

  void configure() {
    protocol::WorkflowChange change;
    protocol::CellConfig *config = change.mutable_configure();
    config->set_version(1);
    config->add_pools()->set_name("pool");
    for (const ModelQueue &it : Options.Queues) {
      protocol::QueueConfig *queue = config->add_queues();
      queue->set_name(it.Name);
      queue->set_host("host");
      queue->set_path_prefix("/" + it.Name + "/");
      queue->set_pool("pool");
      queue->set_priority(it.Priority);
      queue->set_timeout_ms(3000);
      queue->set_max_attempts(2);
      queue->set_latency_target_ms(it.TargetMs);
      queue->set_stretch_permille(std::uint32_t(it.Stretch * 1000));
      if (it.AdviceMs > 0) {
        queue->mutable_advice()->set_decision_us(
            std::uint32_t(it.AdviceMs * 1000));
        queue->mutable_advice()->set_per_runner_us(
            std::uint32_t(it.AdvicePerRunnerMs * 1000));
        queue->mutable_advice()->set_validity_ms(it.TicketMs);
      }
      Outcomes[it.Name];
    }
    Options.Accounts.configure(*config);
    State.apply(change);
  }

  void addRunners() {
    for (std::size_t i = 0; i < Options.Runners; ++i) {
      protocol::WorkflowChange change;
      protocol::RunnerInfo *info = change.mutable_runner()->mutable_runner();
      info->set_id("i-" + std::to_string(100000 + i));
      info->set_pool("pool");
      info->set_address(info->id());
      info->mutable_capacity()->set_milli_processors(
          std::uint32_t(Options.CoresPerRunner * 1000));
      info->mutable_capacity()->set_memory_mb(
          std::uint32_t(Options.MemoryMbPerRunner));
      Runners[info->id()].Speed = Options.Speeds[i % Options.Speeds.size()];
      State.apply(change);
    }
  }

  double lognormal(double mean, double spread) {
    return lognormal(mean, spread, ArrivalEngine);
  }

  static double lognormal(double mean, double spread, std::mt19937_64 &engine) {
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    std::lognormal_distribution<double> drawn(
        std::log(mean) - sigma * sigma / 2, sigma);
    return drawn(engine);
  }

  void arrive(std::size_t i) {
    const ModelQueue &queue = Options.Queues[i];
    const double second =
        std::chrono::duration<double>(Now - Start - WarmUpTime).count();
    if (second >= Options.Seconds) {
      return;
    }
    const bool burst = second >= queue.BurstBegin && second < queue.BurstEnd;
    std::exponential_distribution<double> gap(
        queue.PerSecond * (burst ? queue.BurstFactor : 1) *
        Options.Accounts.factorAt(second));
    schedule(duration(gap(ArrivalEngine)), [this, i] { arrive(i); });
    submit(i);
  }

  void submitAgain(std::size_t i, Milliseconds after) {
    const auto end = Start + WarmUpTime + duration(Options.Seconds);
    if (Options.Queues[i].Callers > 0 && Now + after < end) {
      schedule(after, [this, i] { submit(i); });
    }
  }

  void submit(std::size_t i) {
    const ModelQueue &queue = Options.Queues[i];
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(ArrivalEngine()));
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/" + queue.Name + "/" + id);
    std::uniform_real_distribution<double> share(0, 1);
    const bool gang = share(ArrivalEngine) < queue.GangShare;
    const int steps =
        1 +
        (share(ArrivalEngine) < queue.Steps - std::floor(queue.Steps) ? 1 : 0);
    double criticalPathMs = 0;
    std::uint64_t work = 0;
    for (int s = 0; s < steps; ++s) {
      protocol::StepSpec *step = call.mutable_submit()->add_steps();
      const double width = std::max(1.0, lognormal(queue.Tasks, 0.8));
      step->set_count(std::uint32_t(std::min(width, queue.Tasks * 6)));
      step->mutable_needs()->set_milli_processors(std::uint32_t(
          std::min(15.0, std::max(0.3, lognormal(queue.Cores, 0.4))) * 1000));
      if (queue.MemoryMb > 0) {
        step->mutable_needs()->set_memory_mb(
            std::uint32_t(std::min(2.0, lognormal(1, 0.5)) * queue.MemoryMb));
      }
      step->set_estimate_ms(
          std::uint32_t(std::min(2.5, std::max(0.2, lognormal(1, 0.5))) *
                        queue.Seconds * 1000));
      step->set_gang(gang);
      if (s > 0) {
        step->add_after(std::uint32_t(s - 1));
      }
      criticalPathMs +=
          step->estimate_ms() + queue.AdviceMs + 30 * queue.AdvicePerRunnerMs;
      work += std::uint64_t(step->count()) * step->estimate_ms() *
              step->needs().milli_processors() / 1000;
    }
    Submission &submission = Submitted[id];
    submission.Queue = i;
    submission.Account = Options.Accounts.draw(
        std::chrono::duration<double>(Now - Start - WarmUpTime).count(),
        AccountEngine);
    call.set_api_key(AccountLoad::keyOf(submission.Account));
    submission.At = Now;
    submission.Work = work;
    submission.ObjectiveMs = queue.Stretch * criticalPathMs + queue.TargetMs;
    Outcomes[queue.Name].Arrived += 1;
    send(i, call);
  }

  /// Sends a call to the leader, again after a while if there is none.
  void send(std::size_t i, const protocol::WorkflowCall &call) {
    if (!Leader) {
      schedule(ResubmitInterval, [this, i, call] { send(i, call); });
      return;
    }
    ModelOutcome &outcome = Outcomes[Options.Queues[i].Name];
    decide([&] {
      Leader->call(
          call,
          [this, i, &outcome](const protocol::WorkflowAnswer &answer) {
            if (answer.verdict() == protocol::VERDICT_REFUSED) {
              outcome.Refused += 1;
              submitAgain(i, ResubmitInterval);
            }
          },
          at());
    });
  }

  void startRun(const workflow::StartOrder &order, std::uint64_t term) {
    const workflow::StepKey &step = order.Run.Task.Step;
    const protocol::StepSpec &spec = *State.findSpec(step);
    Submission &submission = Submitted[step.Workflow];
    if (!submission.Started) {
      submission.Started = true;
      Outcomes[Options.Queues[submission.Queue].Name].StartMs.push_back(
          std::chrono::duration<double, std::milli>(Now - submission.At)
              .count());
    }
    SimRunner &runner = Runners[order.Runner];
    SimRun &run = runner.Runs[order.Run];
    run.WaitsForMembers = spec.gang();
    const ModelQueue &queue = Options.Queues[submission.Queue];
    if (!spec.gang()) {
      begin({{order.Runner, order.Run}}, spec, queue, runner.Speed);
    } else if (++PresentMembers[{step, order.Run.Run}] == spec.count()) {
      beginGang(step, order.Run.Run, spec, queue);
    }
    schedule(OneWayDelay, [this, term, order] {
      answer(term, [&] {
        Leader->startAnswered(order, workflow::OrderAnswer::Done, at());
      });
    });
  }

  /// Begins runs that end together: as done, or when the first one fails.
  void begin(const std::vector<std::pair<std::string, workflow::RunKey>> &runs,
             const protocol::StepSpec &spec, const ModelQueue &queue,
             double speed) {
    const double error = queue.EstimateError;
    std::uniform_real_distribution<double> stated(1 - error, 1 + error);
    std::uniform_real_distribution<double> share(0, 1);
    double seconds = spec.estimate_ms() / 1000.0 / speed *
                     std::max(0.5, lognormal(1, 0.15, RunTimeEngine));
    if (error > 0) {
      seconds /= stated(RunTimeEngine);
    }
    double endsAt = 1;
    std::size_t failed = runs.size();
    if (queue.FailedShare > 0) {
      for (std::size_t i = 0; i < runs.size(); ++i) {
        const double at = share(RunTimeEngine) / queue.FailedShare;
        if (at < endsAt) {
          endsAt = at;
          failed = i;
        }
      }
    }
    const SteadyTime end =
        Now + std::chrono::duration_cast<SteadyTime::duration>(
                  duration(seconds * endsAt));
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const protocol::RunEnd how = failed == runs.size() ? protocol::RUN_DONE
                                   : i == failed         ? protocol::RUN_FAILED
                                                         : protocol::RUN_BROKEN;
      const auto &[runner, run] = runs[i];
      Runners[runner].Runs[run].EndsAt = end;
      finishLater(runner, run, end, how);
    }
  }

  void beginGang(const workflow::StepKey &step, std::uint32_t run,
                 const protocol::StepSpec &spec, const ModelQueue &queue) {
    std::vector<std::pair<std::string, workflow::RunKey>> members;
    double slowest = Options.Speeds.front();
    for (const auto &[id, runner] : Runners) {
      for (const auto &[key, it] : runner.Runs) {
        if (key.Task.Step == step && key.Run == run) {
          slowest =
              members.empty() ? runner.Speed : std::min(slowest, runner.Speed);
          members.emplace_back(id, key);
        }
      }
    }
    begin(members, spec, queue, slowest);
  }

  void finishLater(const std::string &runner, const workflow::RunKey &run,
                   SteadyTime when, protocol::RunEnd how) {
    const double cores =
        State.findSpec(run.Task.Step)->needs().milli_processors() / 1000.0;
    const SteadyTime counted =
        std::min(when, Start + WarmUpTime + duration(Options.Seconds));
    BusyCoreSeconds +=
        cores *
        std::max(0.0, std::chrono::duration<double>(counted - Now).count());
    schedule(when - Now,
             [this, runner, run, how] { finish(runner, run, how); });
  }

  void finish(const std::string &id, const workflow::RunKey &run,
              protocol::RunEnd how) {
    SimRunner &runner = Runners[id];
    if (runner.Runs.erase(run) == 0) {
      return;
    }
    runner.Ended.push_back({++runner.Ends, run, how, ""});
    if (runner.Poll) {
      answerPoll(id);
    }
  }

  void stop(const workflow::StopOrder &order, std::uint64_t term) {
    finish(order.Runner, order.Run, protocol::RUN_STOPPED);
    schedule(OneWayDelay, [this, term, order] {
      answer(term, [&] {
        Leader->stopAnswered(order, workflow::OrderAnswer::Done, at());
      });
    });
  }

  void poll(const workflow::PollOrder &order, std::uint64_t term) {
    if (term != Term) {
      return;
    }
    SimRunner &runner = Runners[order.Runner];
    std::erase_if(runner.Ended, [&](const workflow::EndedRun &it) {
      return it.Number <= order.EndsStored;
    });
    runner.Poll = order;
    if (!runner.Ended.empty() || order.WaitMs == 0) {
      answerPoll(order.Runner);
      return;
    }
    schedule(Milliseconds(order.WaitMs),
             [this, term, id = order.Runner, sequence = order.Sequence] {
               const auto &held = Runners[id].Poll;
               if (held && term == Term && held->Sequence == sequence) {
                 answerPoll(id);
               }
             });
  }

  void answerPoll(const std::string &id) {
    SimRunner &runner = Runners[id];
    const workflow::PollOrder order = *runner.Poll;
    runner.Poll.reset();
    workflow::PollAnswer polled;
    polled.Answer = workflow::OrderAnswer::Done;
    polled.ClockMs =
        std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())
            .count();
    for (const auto &[run, it] : runner.Runs) {
      polled.Running.push_back({run, ""});
    }
    polled.Ended = runner.Ended;
    schedule(OneWayDelay, [this, term = Term, order, polled] {
      answer(term, [&] { Leader->pollAnswered(order, polled, at()); });
    });
  }

  void advise(const workflow::AdviceCall &call) {
    const Submission &submission = Submitted[call.Step.Workflow];
    const ModelQueue &queue = Options.Queues[submission.Queue];
    SteadyTime &busy = AgentBusy[call.Agent];
    const auto cost =
        duration((queue.AdviceMs +
                  queue.AdvicePerRunnerMs * double(call.Runners.size())) /
                 1000);
    busy = std::max(busy, Now + OneWayDelay) + cost;
    AdviceSeconds[queue.Name] += std::chrono::duration<double>(cost).count();
    protocol::AdviceResult result;
    result.set_order(call.Order);
    result.set_answered(true);
    const std::hash<std::string> hash;
    for (const std::string &it : call.Runners) {
      const std::size_t drawn = hash(textOf(call.Step) + it) % 1000;
      if (double(drawn) < queue.ApprovedShare * 1000) {
        protocol::ApprovedRunner *row = result.add_approved();
        row->set_runner(it);
        row->set_ticket("t");
      }
    }
    schedule(busy - Now + OneWayDelay, [this, term = Term, result] {
      answer(term, [&] { Leader->adviceAnswered(result, at()); });
    });
  }

  /// Counts the workflows that a batch completed.
  void countCompleted(const workflow::ProposedBatch &batch) {
    for (const protocol::WorkflowChange &it : batch.Record.changes()) {
      if (!it.has_end()) {
        continue;
      }
      const std::string &id = it.end().task().workflow();
      const workflow::Workflow *found = State.find(id);
      Submission &submission = Submitted[id];
      if (submission.Done || !found ||
          found->CurrentPhase != workflow::Phase::Completed) {
        continue;
      }
      submission.Done = true;
      submitAgain(submission.Queue, Milliseconds(0));
      const double took =
          std::chrono::duration<double, std::milli>(Now - submission.At)
              .count();
      ModelOutcome &outcome = Outcomes[Options.Queues[submission.Queue].Name];
      if (took <= submission.ObjectiveMs) {
        outcome.OnTime += 1;
        submission.Served = true;
      } else if (took <= 3 * submission.ObjectiveMs) {
        outcome.Late += 1;
        submission.Served = true;
      } else {
        outcome.TooLate += 1;
      }
    }
  }

  ModelOptions Options;
  /// Generates the submissions. Separate from RunTimeEngine, so that they are
  /// the same under every policy.
  std::mt19937_64 ArrivalEngine;
  std::mt19937_64 RunTimeEngine;
  std::mt19937_64 AccountEngine;
  SteadyTime Start{std::chrono::seconds(1000)};
  SteadyTime Now = Start;
  std::multimap<SteadyTime, std::function<void()>> Events;
  workflow::WorkflowState State;
  std::unique_ptr<workflow::WorkflowLeader> Leader;
  /// Number of the current leader or, while there is none, of the last one.
  std::uint64_t Term = 1;
  std::map<std::string, SimRunner> Runners;
  std::map<std::string, Submission> Submitted;
  std::map<std::pair<workflow::StepKey, std::uint32_t>, std::uint32_t>
      PresentMembers;
  std::map<std::string, SteadyTime> AgentBusy;
  std::map<std::string, ModelOutcome> Outcomes;
  std::map<std::string, double> AdviceSeconds;
  double DecisionSeconds = 0;
  double BusyCoreSeconds = 0;
};

} // namespace masticwinch::benchmarks
