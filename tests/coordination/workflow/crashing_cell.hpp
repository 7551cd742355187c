#pragma once

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "tests/coordination/workflow/workflow_records.hpp"
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::tests {

/// How the runners of a CrashingCell fail.
struct CrashTerms {
  /// Time from the start of a deadly task to the crash, and from the crash to
  /// the runner's return.
  Milliseconds CrashAfter{10};
  Milliseconds DownTime{3200};
  /// The runner starts again under its id, with a later birth; otherwise under
  /// a new id at its address.
  bool KeepsId = false;
  /// Calls to a runner that is down time out instead of being refused.
  bool Silent = false;
  /// A runner crashes under a deadly task before it answers the start.
  bool BeforeAnswer = false;
};

/// A leader with runners that crash under deadly tasks and come back. Every
/// batch is stored at once; the leader can be replaced at any time.
class CrashingCell {
public:
  explicit CrashingCell(std::size_t runners, CrashTerms terms = {})
      : Terms(terms) {
    protocol::WorkflowChange configured;
    *configured.mutable_configure() = configOf(1);
    State.apply(configured);
    changeLeader();
    for (std::size_t i = 0; i < runners; ++i) {
      beginLife("host-" + std::to_string(i));
    }
    run(Milliseconds(100));
  }

  /// Another leader takes over from the replicated state.
  void changeLeader() {
    Leader = std::make_unique<workflow::WorkflowLeader>(Options, State, Now);
    Polls.clear();
  }

  void submit(const std::string &id,
              const std::vector<protocol::StepSpec> &steps = {stepOf(1)},
              std::uint32_t repeats = 0) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    *call.mutable_submit() = specOf(id, steps);
    call.mutable_submit()->set_repeats(repeats);
    call.mutable_submit()->set_first_at_unix_ms(Now.UnixMs);
    call.mutable_submit()->set_interval_ms(1000);
    Leader->call(
        call, [](const protocol::WorkflowAnswer &) {}, Now);
    collect();
  }

  void run(Milliseconds time) {
    for (const SteadyTime end = Now.Now + time; Now.Now < end;) {
      Now.Now += Step;
      Now.UnixMs += std::uint64_t(Step.count());
      moveRunners();
      Leader->tick(Now);
      collect();
    }
  }

  /// Runs until the condition holds; returns whether it does in time.
  template <class Condition>
  bool runUntil(const Condition &condition, Milliseconds limit) {
    const SteadyTime end = Now.Now + limit;
    while (Now.Now < end && !condition()) {
      run(Step);
    }
    return condition();
  }

  void crash(const std::string &host, Milliseconds downTime) {
    Host &it = Hosts.at(host);
    for (const auto &[run, started] : it.Runs) {
      ++CrashesUnder[run.Task];
    }
    it.Runs.clear();
    it.Ended.clear();
    it.Up = false;
    it.BackAt = Now.Now + downTime;
    ++Crashes;
    const auto down =
        std::count_if(Hosts.begin(), Hosts.end(),
                      [](const auto &other) { return !other.second.Up; });
    MostDown = std::max(MostDown, std::size_t(down));
  }

  /// Cuts a runner off, or joins it again; it runs on meanwhile.
  void setCutOff(const std::string &host, bool cutOff) {
    Hosts.at(host).CutOff = cutOff;
  }

  /// Sets the processors that a runner announces.
  void setProcessors(const std::string &host, std::uint32_t milliProcessors) {
    Hosts.at(host).Info.mutable_capacity()->set_milli_processors(
        milliProcessors);
  }

  workflow::Phase phase(const std::string &id) const {
    return State.find(id)->CurrentPhase;
  }

  /// Number of times that the task was started.
  std::uint32_t starts(const workflow::TaskKey &task) const {
    const auto it = StartsOf.find(task);
    return it == StartsOf.end() ? 0 : it->second;
  }

  /// Host on which a task runs; empty if it runs nowhere.
  std::string hostOf(const workflow::TaskKey &task) const {
    for (const auto &[name, host] : Hosts) {
      for (const auto &[run, started] : host.Runs) {
        if (run.Task == task) {
          return name;
        }
      }
    }
    return {};
  }

  static constexpr Milliseconds Step{5};

  CrashTerms Terms;
  workflow::WorkflowLeaderOptions Options;
  workflow::Moment Now{SteadyTime{std::chrono::seconds(100)}, 100'000};
  workflow::WorkflowState State;
  std::unique_ptr<workflow::WorkflowLeader> Leader;
  /// Workflows whose tasks crash the runners that start them.
  std::set<std::string> Deadly;
  /// Tasks of other workflows that do.
  std::set<workflow::TaskKey> DeadlyTasks;
  /// Duration of every other run, also of a gang of which a member is missing.
  Milliseconds RunTime{600};
  std::size_t Crashes = 0;
  /// The most runners that were down at the same time.
  std::size_t MostDown = 0;
  std::map<workflow::TaskKey, std::uint32_t> StartsOf;
  std::map<workflow::TaskKey, std::uint32_t> CrashesUnder;
  /// Number of log entries of each kind.
  std::map<workflow::WorkflowEventKind, std::size_t> EventCounts;
  /// Starts that brought a runner over its capacity.
  std::size_t OverCapacity = 0;

private:
  static constexpr Milliseconds HeartbeatInterval{300};
  static constexpr Milliseconds PollTimeout{1450};

  struct Host {
    protocol::RunnerInfo Info;
    /// The capacity in the latest heartbeat.
    protocol::Amounts Announced;
    SteadyTime BeganAt{};
    bool Up = true;
    bool CutOff = false;
    SteadyTime BackAt{};
    SteadyTime NextHeartbeat{};
    std::uint64_t Sequence = 0;
    std::map<workflow::RunKey, SteadyTime> Runs;
    std::map<workflow::TaskKey, std::uint32_t> Closed;
    std::vector<workflow::EndedRun> Ended;
    std::uint64_t LastEnd = 0;
    std::int64_t LeaseUntilMs = 0;
  };
  struct Poll {
    workflow::PollOrder Order;
    SteadyTime SentAt;
  };

  std::int64_t clockOf(const Host &host) const {
    return std::chrono::duration_cast<Milliseconds>(Now.Now - host.BeganAt)
               .count() +
           1;
  }

  void beginLife(const std::string &name) {
    Host &host = Hosts[name];
    const std::string id =
        Terms.KeepsId ? name : name + "-" + std::to_string(NextLife++);
    host = {};
    host.Info = runnerOf(id);
    host.Info.set_address(name);
    if (Terms.KeepsId) {
      host.Info.set_born_unix_ms(Now.UnixMs);
    }
    host.BeganAt = Now.Now;
  }

  void heartbeat(Host &host) {
    host.NextHeartbeat = Now.Now + HeartbeatInterval;
    host.Announced = host.Info.capacity();
    Leader->heartbeat(
        host.Info, ++host.Sequence, clockOf(host), [] {}, Now);
  }

  bool isDeadly(const workflow::TaskKey &task) const {
    return Deadly.contains(task.Step.Workflow) || DeadlyTasks.contains(task);
  }

  void moveRunners() {
    for (auto &[name, host] : Hosts) {
      if (!host.Up) {
        if (Now.Now < host.BackAt) {
          continue;
        }
        beginLife(name);
      }
      if (!host.CutOff && Now.Now >= host.NextHeartbeat) {
        heartbeat(host);
      }
      endRuns(name, host);
    }
    answerPolls();
  }

  void endRuns(const std::string &name, Host &host) {
    while (clockOf(host) > host.LeaseUntilMs && !host.Runs.empty()) {
      endRun(host, workflow::RunKey(host.Runs.begin()->first),
             protocol::RUN_LAPSED);
    }
    std::vector<workflow::RunKey> ended;
    for (const auto &[run, started] : host.Runs) {
      if (isDeadly(run.Task) && Now.Now - started >= Terms.CrashAfter) {
        return crash(name, Terms.DownTime);
      }
      const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
      if (spec && !spec->long_running() && Now.Now - started >= RunTime) {
        ended.push_back(run);
      }
    }
    for (const workflow::RunKey &it : ended) {
      endRun(host, it, protocol::RUN_DONE);
    }
  }

  static void endRun(Host &host, const workflow::RunKey &run,
                     protocol::RunEnd how) {
    host.Runs.erase(run);
    host.Closed[run.Task] = run.Run;
    host.Ended.push_back({++host.LastEnd, run, how, ""});
  }

  Host &hostAt(const std::string &address) { return Hosts.at(address); }

  void answerPolls() {
    for (Poll &it : std::exchange(Polls, {})) {
      Host &host = hostAt(it.Order.Address);
      const SteadyTime::duration age = Now.Now - it.SentAt;
      workflow::PollAnswer answer;
      if (!host.Up || host.CutOff) {
        const bool refused = !host.Up && !Terms.Silent;
        if (!refused && age < PollTimeout) {
          Polls.push_back(it);
          continue;
        }
        answer.Answer = refused ? workflow::OrderAnswer::Disconnected
                                : workflow::OrderAnswer::Silent;
      } else if (host.Info.id() != it.Order.Runner) {
        answer.Answer = workflow::OrderAnswer::OtherLife;
      } else {
        host.LeaseUntilMs =
            std::max(host.LeaseUntilMs, it.Order.LeaseUntilMs.value_or(0));
        std::erase_if(host.Ended, [&](const workflow::EndedRun &end) {
          return end.Number <= it.Order.EndsStored;
        });
        if (host.Ended.empty() && age < Milliseconds(it.Order.WaitMs)) {
          Polls.push_back(it);
          continue;
        }
        answer = listsOf(host);
      }
      Leader->pollAnswered(it.Order, answer, Now);
    }
  }

  workflow::PollAnswer listsOf(const Host &host) const {
    workflow::PollAnswer answer;
    answer.Answer = workflow::OrderAnswer::Done;
    answer.ClockMs = clockOf(host);
    answer.BornUnixMs = host.Info.born_unix_ms();
    for (const auto &[run, started] : host.Runs) {
      answer.Running.push_back({run, ""});
    }
    answer.Ended = host.Ended;
    return answer;
  }

  workflow::OrderAnswer answerTo(const Host &host,
                                 const std::string &runner) const {
    if (!host.Up || host.CutOff) {
      return workflow::OrderAnswer::Disconnected;
    }
    return host.Info.id() == runner ? workflow::OrderAnswer::Done
                                    : workflow::OrderAnswer::OtherLife;
  }

  void start(const workflow::StartOrder &order) {
    Host &host = hostAt(order.Address);
    workflow::OrderAnswer answer = answerTo(host, order.Runner);
    if (answer == workflow::OrderAnswer::Done &&
        host.Closed[order.Run.Task] >= order.Run.Run) {
      answer = workflow::OrderAnswer::Outdated;
    } else if (answer == workflow::OrderAnswer::Done &&
               host.Runs.emplace(order.Run, Now.Now).second) {
      host.LeaseUntilMs = std::max(host.LeaseUntilMs, order.LeaseUntilMs);
      ++StartsOf[order.Run.Task];
      checkCapacity(host);
      if (Terms.BeforeAnswer && isDeadly(order.Run.Task)) {
        crash(order.Address, Terms.DownTime);
        answer = workflow::OrderAnswer::Disconnected;
      }
    }
    Leader->startAnswered(order, answer, Now);
  }

  void checkCapacity(const Host &host) {
    workflow::ResourceAmounts free = workflow::amountsOf(host.Announced);
    for (const auto &[run, started] : host.Runs) {
      free -= workflow::needsOf(*State.findSpec(run.Task.Step));
    }
    OverCapacity += free.canFit({}) ? 0 : 1;
  }

  void stop(const workflow::StopOrder &order) {
    Host &host = hostAt(order.Address);
    const workflow::OrderAnswer answer = answerTo(host, order.Runner);
    if (answer == workflow::OrderAnswer::Done &&
        host.Runs.contains(order.Run)) {
      endRun(host, order.Run, protocol::RUN_STOPPED);
    }
    Leader->stopAnswered(order, answer, Now);
  }

  void collect() {
    for (bool more = true; more;) {
      workflow::WorkflowEffects effects = Leader->takeEffects(Now);
      for (const workflow::WorkflowEvent &it : effects.Events) {
        ++EventCounts[it.Kind];
      }
      for (const workflow::ProposedBatch &it : effects.Batches) {
        State.apply(it.Record);
        Leader->stored(it, Now);
      }
      for (const workflow::StartOrder &it : effects.Starts) {
        start(it);
      }
      for (const workflow::StopOrder &it : effects.Stops) {
        stop(it);
      }
      for (const workflow::PollOrder &it : effects.Polls) {
        Polls.push_back({it, Now.Now});
      }
      more = !effects.Batches.empty() || !effects.Starts.empty() ||
             !effects.Stops.empty();
    }
  }

  std::map<std::string, Host> Hosts;
  std::vector<Poll> Polls;
  std::uint64_t NextLife = 0;
};

} // namespace masticwinch::tests
