#pragma once

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::tests {

/// Ids of workflows.
inline const std::string First = "00000000000000a1";
inline const std::string Second = "00000000000000a2";
inline const std::string Third = "00000000000000a3";

inline void addAccount(protocol::CellConfig &config, const std::string &name,
                       std::initializer_list<std::string> keys) {
  config.set_accounts_declared(true);
  protocol::ClientAccount *account = config.add_accounts();
  account->set_name(name);
  for (const std::string &it : keys) {
    account->add_keys(it);
  }
}

/// The queue "sheets", which needs keys, and the public queue "notes" at
/// `host/notes/`; the accounts north, with two keys, and south.
inline protocol::CellConfig keyedConfig(std::uint64_t version) {
  protocol::CellConfig config = configOf(version);
  protocol::QueueConfig notes = config.queues(0);
  notes.set_name("notes");
  notes.set_path_prefix("/notes/");
  notes.set_public_access(true);
  *config.add_queues() = notes;
  addAccount(config, "north", {"north-1", "north-2"});
  addAccount(config, "south", {"south-1"});
  return config;
}

/// A leader of a cell with one runner. Proposed changes are stored only when
/// the test says so. Each call's answer is kept until then.
class KeyedCell {
public:
  using Answer = std::shared_ptr<protocol::WorkflowAnswer>;

  explicit KeyedCell(const protocol::CellConfig &config = keyedConfig(1))
      : KeyedCell(stateOf(config)) {}
  explicit KeyedCell(workflow::WorkflowState state) : State(std::move(state)) {
    newLeader();
  }

  static workflow::WorkflowState stateOf(const protocol::CellConfig &config) {
    workflow::WorkflowState state;
    protocol::WorkflowChange change;
    *change.mutable_configure() = config;
    state.apply(change);
    *change.mutable_runner()->mutable_runner() = runnerOf("i-0");
    state.apply(change);
    return state;
  }

  /// Another leader takes over with the state as it is; what was proposed and
  /// not stored is lost.
  void newLeader() {
    Proposed.clear();
    Leader = std::make_unique<workflow::WorkflowLeader>(
        workflow::WorkflowLeaderOptions(), State, Now);
  }

  Answer submit(const std::string &key, const std::string &id,
                const std::string &prefix = "/sheets/") {
    protocol::WorkflowCall call;
    *call.mutable_submit() = specOf(id, {stepOf(1)});
    return make(call, key, prefix + id);
  }
  Answer state(const std::string &key, const std::string &id,
               const std::string &prefix = "/sheets/") {
    protocol::WorkflowCall call;
    call.mutable_state();
    return make(call, key, prefix + id);
  }
  Answer cancel(const std::string &key, const std::string &id,
                const std::string &prefix = "/sheets/") {
    protocol::WorkflowCall call;
    call.mutable_cancel();
    return make(call, key, prefix + id);
  }

  void configure(const protocol::CellConfig &config) {
    Leader->configure(
        config, [] {}, Now);
    collect();
  }

  /// Stores what has been proposed, and what follows from it.
  void store() {
    while (!Proposed.empty()) {
      const std::vector<workflow::ProposedBatch> batches =
          std::exchange(Proposed, {});
      for (const workflow::ProposedBatch &it : batches) {
        State.apply(it.Record);
        Leader->stored(it, Now);
      }
      collect();
    }
  }

  void pass(Milliseconds time) {
    Now.Now += time;
    Now.UnixMs += static_cast<std::uint64_t>(time.count());
    Leader->tick(Now);
    collect();
  }

  /// The fields of the latest event of a kind; empty if there is none.
  std::vector<std::pair<std::string, std::string>>
  latest(workflow::WorkflowEventKind kind) const {
    const auto found =
        std::find_if(Events.rbegin(), Events.rend(),
                     [&](const auto &it) { return it.Kind == kind; });
    return found == Events.rend()
               ? std::vector<std::pair<std::string, std::string>>()
               : found->Fields;
  }

  workflow::Moment Now{SteadyTime{std::chrono::seconds(100)}, 100'000};
  workflow::WorkflowState State;
  std::unique_ptr<workflow::WorkflowLeader> Leader;
  std::vector<workflow::ProposedBatch> Proposed;
  std::vector<workflow::WorkflowEvent> Events;

private:
  Answer make(protocol::WorkflowCall call, const std::string &key,
              const std::string &path) {
    call.set_host("host");
    call.set_path(path);
    call.set_api_key(key);
    auto answer = std::make_shared<protocol::WorkflowAnswer>();
    Leader->call(
        call,
        [answer](protocol::WorkflowAnswer it) { *answer = std::move(it); },
        Now);
    collect();
    return answer;
  }

  void collect() {
    workflow::WorkflowEffects effects = Leader->takeEffects(Now);
    Proposed.insert(Proposed.end(), effects.Batches.begin(),
                    effects.Batches.end());
    Events.insert(Events.end(), effects.Events.begin(), effects.Events.end());
  }
};

} // namespace masticwinch::tests
