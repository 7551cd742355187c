#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/control/command_log.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/metrics/histogram.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workflow/account_metrics.hpp"
#include "masticwinch/workflow/handler_load.hpp"
#include "masticwinch/workflow/order_number.hpp"
#include "masticwinch/workflow/outcome_counters.hpp"
#include "masticwinch/workflow/runner_calls.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <exception>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Applies the log to the workflow state on one control VM. While this VM
/// leads, it also executes the leader's decisions: it proposes batches to the
/// log, sends orders to runners and answers entry VMs. Runs on the control
/// thread. Before orders are sent, it checks with the log that this VM still
/// leads.
template <class Log, class Sender, RunnerCalls Calls> class WorkflowDriver {
public:
  WorkflowDriver(asio::io_context &context, Log &log, Sender &outbox,
                 Calls &runners, const Clock &clock, EventLog &events,
                 MetricRegistry &metrics, WorkflowLeaderOptions options)
      : Commands(log), Outbox(outbox), Runners(runners), Time(clock),
        Events(events), Metrics(metrics), Options(options),
        EffectsTimer(context),
        StoreSeconds(
            metrics.histogram({"masticwinch_workflow_store_seconds",
                               "From proposing decisions to their storage by "
                               "a quorum."})),
        Outcomes(metrics), Accounts(metrics, [this] { return leads(); }) {}

  const WorkflowState &state() const { return State; }
  const WorkflowLeader *leader() const { return Leader.get(); }

  /// The figures of all client accounts; nothing on a VM that doesn't lead.
  std::optional<std::vector<AccountLoad>> accountLoads() const {
    return leads() ? std::optional(Leader->accountLoads(Time.now()))
                   : std::nullopt;
  }

  /// Whether this VM leads and its state is current.
  bool leads() const { return Leader && Commands.isLeader(); }

  void applied(control::LogPosition position, const std::string &record) {
    protocol::WorkflowRecord parsed;
    const bool readable = parsed.ParseFromString(record);
    if (!readable) {
      Events.writeNamed("workflow_record_unreadable",
                        {{"index", position.Index}});
    } else {
      State.apply(parsed);
    }
    const auto batch = InFlight.extract(position);
    if (!Leader || batch.empty()) {
      return;
    }
    if (!readable) {
      abandonLeadership("stored", "a record can't be read back");
      return;
    }
    StoreSeconds.record(
        std::chrono::duration<double>(Time.now() - batch.mapped().ProposedAt)
            .count());
    decide("stored",
           [&] { Leader->stored(batch.mapped().Batch, currentMoment()); });
  }

  void restore(const std::string &bytes) {
    protocol::WorkflowSnapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) {
      throw std::runtime_error("the stored workflow state can't be read");
    }
    // A leader's decisions refer to the state that is replaced.
    Leader.reset();
    InFlight.clear();
    UnproposedBatches.clear();
    Unsent = {};
    State.restore(snapshot);
  }

  std::string snapshot() const { return State.snapshot().SerializeAsString(); }

  /// Called when this VM becomes the leader, or leads again after a lapse. If
  /// the term is the same, no other VM has led since, and the leader's state is
  /// kept.
  void becomeLeader() {
    if (Leader && LeaderTerm == Commands.term()) {
      scheduleEffects();
      return;
    }
    InFlight.clear();
    UnproposedBatches.clear();
    Unsent = {};
    LeaderTerm = Commands.term();
    Options.Advice.FirstOrder = firstOrderOf(LeaderTerm);
    decide("leadership", [this] {
      Leader =
          std::make_unique<WorkflowLeader>(Options, State, currentMoment());
    });
  }

  void tick() {
    if (!leads()) {
      return;
    }
    decide("tick", [this] { Leader->tick(currentMoment()); });
    if (const auto load = Load.report(Time.now())) {
      Events.writeNamed("leader_load",
                        {{"interval_ms", load->Interval.count()},
                         {"longest_delay_ms", load->LongestDelay.count()},
                         {"steps_open", Leader ? Leader->openStepCount() : 0},
                         {"handlers", load->Handlers}});
    }
  }

  /// Records how long the next message waited for the control thread.
  void messageDelayed(SteadyTime::duration delay) {
    Load.recordDelay(delay);
    MessageDelay = delay;
  }

  void receive(const protocol::Envelope &envelope) {
    if (envelope.has_workflow_call()) {
      handleCall(envelope);
    } else if (envelope.has_agent_hello()) {
      handleHello(envelope);
    } else if (envelope.has_advice_result() && leads()) {
      decide("advice", [&] {
        Leader->adviceAnswered(envelope.advice_result(), currentMoment());
      });
    }
  }

  void heartbeat(const protocol::RunnerInfo &info, std::uint64_t sequence,
                 std::int64_t clockMs, StoredCallback stored) {
    decide("heartbeat", [&] {
      Leader->heartbeat(info, sequence, clockMs, std::move(stored),
                        currentMoment());
    });
  }

  void deregister(const RunnerLife &life, StoredCallback stored) {
    decide("deregister", [&] {
      Leader->deregister(life, std::move(stored), currentMoment());
    });
  }

  void configure(const protocol::CellConfig &config, StoredCallback stored) {
    decide("configure", [&] {
      Leader->configure(config, std::move(stored), currentMoment());
    });
  }

private:
  /// Time for which decisions are collected into a batch: a fraction of a disk
  /// sync, and longer for a large fleet, where more decisions follow each
  /// other.
  static constexpr Milliseconds BatchDelay{4};
  static constexpr std::chrono::microseconds BatchDelayPerRunner{15};

  /// A batch that was proposed and is not applied yet.
  struct ProposedRecord {
    ProposedBatch Batch;
    SteadyTime ProposedAt;
  };

  Moment currentMoment() const {
    const auto wall = std::chrono::duration_cast<Milliseconds>(
        Time.systemNow().time_since_epoch());
    return {Time.now(), static_cast<std::uint64_t>(wall.count())};
  }

  void handleCall(const protocol::Envelope &envelope) {
    const protocol::WorkflowCall &call = envelope.workflow_call();
    const std::string &address = envelope.reply_address();
    const auto reply = [this, address,
                        number = call.call()](protocol::WorkflowAnswer answer) {
      protocol::Envelope outgoing;
      answer.set_call(number);
      if (answer.config_version() == 0) {
        answer.set_config_version(State.config().version());
      }
      *outgoing.mutable_workflow_answer() = std::move(answer);
      Outbox.send(address, std::move(outgoing));
    };
    const bool leading = leads();
    if (!leading || isForEarlierTerm(call)) {
      protocol::WorkflowAnswer answer;
      answer.set_verdict(protocol::VERDICT_NOT_LEADING);
      answer.set_reason(leading ? "sent to the leader of another term"
                                : "this VM does not lead");
      answer.set_leader_hint(Commands.leaderAddress());
      reply(std::move(answer));
      return;
    }
    decide("call", [&] {
      Leader->setLogRefusal(Commands.refusal());
      Leader->setCallDelay(
          std::chrono::duration_cast<Milliseconds>(MessageDelay));
      Leader->call(call, reply, currentMoment());
    });
  }

  /// Whether the call was sent to another leader, or to this VM when it led
  /// before. Its sender may have been refused by a leader in between, and must
  /// then not have it accepted.
  bool isForEarlierTerm(const protocol::WorkflowCall &call) const {
    return call.leader_term() != 0 && call.leader_term() != LeaderTerm;
  }

  void handleHello(const protocol::Envelope &envelope) {
    protocol::Envelope outgoing;
    protocol::AgentWelcome *welcome = outgoing.mutable_agent_welcome();
    welcome->set_sequence(envelope.agent_hello().sequence());
    welcome->set_leads(leads());
    welcome->set_leader_hint(Commands.leaderAddress());
    if (leads()) {
      welcome->set_term(LeaderTerm);
      welcome->set_config_version(State.config().version());
      welcome->set_takes_offers(State.accounts().areDeclared());
      if (State.config().has_limits()) {
        *welcome->mutable_limits() = State.config().limits();
      }
    }
    for (const std::string &it : Commands.otherAddresses()) {
      welcome->add_controls(it);
    }
    Outbox.send(envelope.reply_address(), std::move(outgoing));
    if (leads()) {
      decide("agent", [&] {
        Leader->agentSeen(envelope.reply_address(), currentMoment());
      });
    }
  }

  /// Runs a handler of the leader and executes its effects. If it throws, this
  /// VM gives up its leadership instead of ending the process: decisions since
  /// the last stored batch are dropped, and the next leader starts from the
  /// replicated state.
  template <class Function>
  void decide(std::string_view handler, const Function &function) {
    if (guard(handler, function)) {
      scheduleEffects();
    }
  }

  /// Returns whether the function ended without an exception.
  template <class Function>
  bool guard(std::string_view handler, const Function &function) {
    const SteadyTime began = Time.now();
    try {
      function();
      Load.record(handler, Time.now() - began);
      return true;
    } catch (const std::exception &error) {
      abandonLeadership(handler, error.what());
      return false;
    }
  }

  void abandonLeadership(std::string_view handler, const std::string &reason) {
    Events.writeNamed(
        "workflow_decision_failed",
        {{"handler", handler}, {"term", LeaderTerm}, {"reason", reason}});
    Metrics
        .counter({"masticwinch_workflow_decisions_failed_total",
                  "Decisions that ended in an error and cost the leadership."})
        .add(1);
    Leader.reset();
    InFlight.clear();
    UnproposedBatches.clear();
    Unsent = {};
    Commands.resign("a decision failed: " + reason);
  }

  /// Executes the leader's effects, at once unless that was done within the
  /// batch delay. Decisions in quick succession are stored as one record, which
  /// costs a single round of messages to the other control VMs.
  void scheduleEffects() {
    const auto delay =
        BatchDelay + BatchDelayPerRunner * State.runners().size();
    if (Time.now() - LastEffectsAt >= delay) {
      guard("effects", [this] { executeEffects(); });
    } else if (!EffectsScheduled) {
      EffectsScheduled = true;
      EffectsTimer.expires_after(LastEffectsAt + delay - Time.now());
      EffectsTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
          guard("effects", [this] { executeEffects(); });
        }
      });
    }
  }

  void executeEffects() {
    EffectsScheduled = false;
    LastEffectsAt = Time.now();
    if (!leads()) {
      return;
    }
    WorkflowEffects effects = Leader->takeEffects(currentMoment());
    Leader->effectsTook(Time.now() - LastEffectsAt, Time.now());
    writeEvents(effects);
    std::move(effects.Batches.begin(), effects.Batches.end(),
              std::back_inserter(UnproposedBatches));
    appendTo(Unsent.Starts, effects.Starts);
    appendTo(Unsent.Stops, effects.Stops);
    appendTo(Unsent.Polls, effects.Polls);
    appendTo(Unsent.Advice, effects.Advice);
    propose();
    sendOrders();
  }

  template <class Order>
  static void appendTo(std::vector<Order> &orders, std::vector<Order> &added) {
    orders.insert(orders.end(), std::make_move_iterator(added.begin()),
                  std::make_move_iterator(added.end()));
  }

  /// Sends all orders if this VM still leads. Otherwise they are kept: the
  /// lease of leadership may be regained in the same term, and the leader waits
  /// for an answer to each of them.
  void sendOrders() {
    if (!Commands.isLeader()) {
      Events.writeNamed("orders_held_back", {{"starts", Unsent.Starts.size()},
                                             {"stops", Unsent.Stops.size()},
                                             {"looks", Unsent.Polls.size()},
                                             {"advice", Unsent.Advice.size()}});
      for (PollOrder &it : Unsent.Polls) {
        // By the time it is sent, the runner may have begun another life.
        it.EndsStored = 0;
      }
      return;
    }
    WorkflowEffects effects = std::exchange(Unsent, {});
    for (const StartOrder &it : effects.Starts) {
      Runners.start(it, LeaderTerm,
                    answered([it](WorkflowLeader &leader, OrderAnswer answer,
                                  Moment now) {
                      leader.startAnswered(it, answer, now);
                    }));
    }
    for (const StopOrder &it : effects.Stops) {
      Runners.stop(
          it, LeaderTerm,
          answered([it](WorkflowLeader &leader, OrderAnswer answer,
                        Moment now) { leader.stopAnswered(it, answer, now); }));
    }
    for (const PollOrder &it : effects.Polls) {
      poll(it);
    }
    for (AdviceCall &it : effects.Advice) {
      ask(std::move(it));
    }
  }

  template <class Function> OrderDone answered(Function function) {
    return [this, term = LeaderTerm, function](OrderAnswer answer) {
      if (Leader && LeaderTerm == term) {
        decide("order_answered",
               [&] { function(*Leader, answer, currentMoment()); });
      }
    };
  }

  void poll(const PollOrder &order) {
    Runners.poll(order, LeaderTerm,
                 [this, term = LeaderTerm, order](const PollAnswer &answer) {
                   if (Leader && LeaderTerm == term) {
                     decide("look_answered", [&] {
                       Leader->pollAnswered(order, answer, currentMoment());
                     });
                   }
                 });
  }

  void ask(AdviceCall call) {
    protocol::Envelope envelope;
    protocol::AdviceOrder *order = envelope.mutable_advice_order();
    order->set_order(call.Order);
    *order->mutable_step() = refOf(call.Step);
    for (std::string &it : call.Runners) {
      order->add_runners(std::move(it));
    }
    order->set_timeout_ms(static_cast<std::uint32_t>(call.Timeout.count()));
    Outbox.send(call.Agent, std::move(envelope));
  }

  /// Proposes batches to the log in order. Batches that the log can't accept
  /// now, such as while the disk is full, are kept, and their effects wait.
  /// Another leader would start from what is stored; so does this one after a
  /// batch that can never be stored, and nothing waits behind it.
  void propose() {
    while (!UnproposedBatches.empty()) {
      const control::ProposalResult proposed = Commands.propose(
          UnproposedBatches.front().Record.SerializeAsString());
      if (control::isTooLarge(proposed)) {
        abandonLeadership("propose", "a record is too large for the log");
        return;
      }
      const control::LogPosition *position = control::positionOf(proposed);
      if (!position) {
        Events.writeNamed("workflow_batches_wait",
                          {{"batches", UnproposedBatches.size()}});
        return;
      }
      InFlight.emplace(
          *position,
          ProposedRecord{std::move(UnproposedBatches.front()), Time.now()});
      UnproposedBatches.pop_front();
    }
  }

  void writeEvents(const WorkflowEffects &effects) {
    for (const WorkflowEvent &it : effects.Events) {
      Events.writeFields(nameOf(it.Kind), it.Fields,
                         isReport(it.Kind) ? EventLog::Frequency::Bounded
                                           : EventLog::Frequency::Frequent);
      counterOf(it.Kind).add(1);
    }
    for (const WorkflowOutcome &it : effects.Outcomes) {
      Outcomes.add(it);
    }
    for (const AccountOutcome &it : effects.AccountOutcomes) {
      Accounts.add(it);
    }
    if (effects.AccountLoads) {
      Accounts.set(*effects.AccountLoads);
    }
  }

  Counter &counterOf(WorkflowEventKind kind) {
    Counter *&counter = DecisionCounters[kind];
    if (!counter) {
      counter =
          &Metrics.counter({"masticwinch_workflow_decisions_total",
                            "What the leader decided or learnt, by event.",
                            {{"event", std::string(nameOf(kind))}}});
    }
    return *counter;
  }

  Log &Commands;
  Sender &Outbox;
  Calls &Runners;
  const Clock &Time;
  EventLog &Events;
  MetricRegistry &Metrics;
  WorkflowLeaderOptions Options;
  WorkflowState State;
  std::unique_ptr<WorkflowLeader> Leader;
  std::uint64_t LeaderTerm = 0;
  asio::steady_timer EffectsTimer;
  Histogram &StoreSeconds;
  HandlerLoad Load;
  /// How long the message that is handled, or is next, has waited.
  SteadyTime::duration MessageDelay{};
  std::map<WorkflowEventKind, Counter *> DecisionCounters;
  OutcomeCounters Outcomes;
  AccountMetrics Accounts;
  bool EffectsScheduled = false;
  SteadyTime LastEffectsAt{};
  /// Batches that the log has not accepted yet, oldest first.
  std::deque<ProposedBatch> UnproposedBatches;
  /// Orders that wait for the lease of leadership.
  WorkflowEffects Unsent;
  std::map<control::LogPosition, ProposedRecord> InFlight;
};

} // namespace masticwinch::workflow
