#pragma once

#include <fmt/format.h>

#include "tests/coordination/workflow/answered_cell.hpp"
#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::tests {

/// A cell with the client accounts "north" and "south", whose keys are
/// "key-north" and "key-south", and with the queues "sheets" and "charts" of
/// one pool. Its runners i-0, i-1 and so on have 32 cores each and are answered
/// for; runs end when the test says so.
struct CappedCell : LedCell {
  explicit CappedCell(std::size_t runners, protocol::Amounts capOfNorth = {})
      : CappedCell(stateOf(runners, std::move(capOfNorth))) {}

  explicit CappedCell(workflow::WorkflowState state)
      : LedCell(std::move(state)) {}

  /// The id of a workflow, which is 16 hexadecimal digits, by its name.
  static std::string idOf(const std::string &name) {
    return fmt::format("{:016x}", std::hash<std::string>()(name));
  }

  static protocol::Amounts processors(std::uint32_t cores) {
    protocol::Amounts cap;
    cap.set_milli_processors(cores * 1000);
    return cap;
  }

  static protocol::CellConfig configWith(std::uint64_t version,
                                         protocol::Amounts capOfNorth) {
    protocol::CellConfig config = configOf(version);
    *config.add_queues() = config.queues(0);
    config.mutable_queues(1)->set_name("charts");
    config.mutable_queues(1)->set_path_prefix("/charts/");
    config.set_accounts_declared(true);
    for (const char *name : {"north", "south"}) {
      protocol::ClientAccount *account = config.add_accounts();
      account->set_name(name);
      account->add_keys(std::string("key-") + name);
      account->set_weight_permille(1000);
    }
    *config.mutable_accounts(0)->mutable_cap() = std::move(capOfNorth);
    return config;
  }

  static workflow::WorkflowState stateOf(std::size_t runners,
                                         protocol::Amounts capOfNorth) {
    workflow::WorkflowState state = AnsweredCell::stateWithRunners(runners, 0);
    protocol::WorkflowChange change;
    *change.mutable_configure() = configWith(2, std::move(capOfNorth));
    state.apply(change);
    return state;
  }

  /// Stores a configuration in which north has this cap.
  void setCap(protocol::Amounts capOfNorth) {
    configure(configWith(State.config().version() + 1, std::move(capOfNorth)));
  }

  void configure(const protocol::CellConfig &config) {
    Leader.configure(
        config, [] {}, Now);
    advance(SchedulingTime);
  }

  /// Submits a workflow, and returns the answer. It is not scheduled yet.
  protocol::WorkflowAnswer
  submitAs(const std::string &account, const std::string &id,
           const std::vector<protocol::StepSpec> &steps,
           const std::string &queue = "sheets") {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/" + queue + "/" + idOf(id));
    call.set_api_key("key-" + account);
    *call.mutable_submit() = specOf(idOf(id), steps);
    const auto answered = std::make_shared<protocol::WorkflowAnswer>();
    Leader.call(
        call,
        [answered](const protocol::WorkflowAnswer &answer) {
          *answered = answer;
        },
        Now);
    pass(Milliseconds(0));
    return *answered;
  }

  void advance(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += SchedulingTime) {
      pass(SchedulingTime);
      answerStarts();
      answerStops();
      for (const workflow::PollOrder &it : std::exchange(Polls, {})) {
        workflow::PollAnswer answer;
        if (!Silent.contains(it.Runner)) {
          answer.Answer = workflow::OrderAnswer::Done;
          answer.ClockMs = std::int64_t(Now.UnixMs);
          answer.Running = Running[it.Runner];
          answer.Ended = Ended[it.Runner];
        }
        Leader.pollAnswered(it, answer, Now);
      }
    }
  }

  /// Ends the first runs of a workflow as done.
  void endRunsOf(const std::string &id, std::size_t count) {
    for (auto &entry : Running) {
      const std::string &runner = entry.first;
      std::erase_if(entry.second, [&](const workflow::RunningRun &it) {
        if (it.Run.Task.Step.Workflow != idOf(id) || count == 0) {
          return false;
        }
        --count;
        listEnd(runner, it.Run, protocol::RUN_DONE);
        return true;
      });
    }
  }

  /// Number of runs of a workflow that are running.
  std::size_t runningOf(const std::string &id) const {
    std::size_t count = 0;
    for (const auto &[runner, runs] : Running) {
      count += std::size_t(std::count_if(
          runs.begin(), runs.end(), [&](const workflow::RunningRun &it) {
            return it.Run.Task.Step.Workflow == idOf(id);
          }));
    }
    return count;
  }

  std::size_t startsOf(const std::string &id) const {
    return std::size_t(std::count_if(
        Starts.begin(), Starts.end(), [&](const workflow::StartOrder &it) {
          return it.Run.Task.Step.Workflow == idOf(id);
        }));
  }

  /// Runners of which no call is answered.
  std::set<std::string> Silent;
  /// Whether the runners carry out starts but their answers are lost.
  bool LosesStartAnswers = false;
  /// Whether stop orders are lost.
  bool LosesStops = false;
  std::map<std::string, std::vector<workflow::RunningRun>> Running;
  std::map<std::string, std::vector<workflow::EndedRun>> Ended;

private:
  void listEnd(const std::string &runner, const workflow::RunKey &run,
               protocol::RunEnd how) {
    Ended[runner].push_back({Ended[runner].size() + 1, run, how, ""});
  }

  void answerStarts() {
    for (; AnsweredStarts < Starts.size(); ++AnsweredStarts) {
      const workflow::StartOrder &it = Starts[AnsweredStarts];
      const bool lost = Silent.contains(it.Runner) || LosesStartAnswers;
      if (!lost) {
        Running[it.Runner].push_back({it.Run, ""});
      }
      Leader.startAnswered(it,
                           lost ? workflow::OrderAnswer::Silent
                                : workflow::OrderAnswer::Done,
                           Now);
    }
  }

  void answerStops() {
    for (const workflow::StopOrder &it : std::exchange(Stops, {})) {
      if (Silent.contains(it.Runner) || LosesStops) {
        Leader.stopAnswered(it, workflow::OrderAnswer::Silent, Now);
        continue;
      }
      std::erase_if(Running[it.Runner], [&](const workflow::RunningRun &run) {
        if (run.Run != it.Run) {
          return false;
        }
        listEnd(it.Runner, it.Run, protocol::RUN_STOPPED);
        return true;
      });
      Leader.stopAnswered(it, workflow::OrderAnswer::Done, Now);
    }
  }

  std::size_t AnsweredStarts = 0;
};

} // namespace masticwinch::tests
