#include "fuzzing/workflow/workflow_simulator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

constexpr Milliseconds TimeUnit{20};
constexpr std::uint32_t TicketValidityMs = 1500;
constexpr std::size_t InitialRunners = 4;

/// Two of so many values make a submission deadly, one for each queue.
constexpr std::uint8_t DeadlyChoices = 32;

protocol::StepSpec stepOf(std::uint32_t count, std::uint32_t processors) {
  protocol::StepSpec step;
  step.set_count(count);
  step.mutable_needs()->set_milli_processors(processors);
  step.mutable_needs()->set_memory_mb(512);
  step.set_estimate_ms(400);
  return step;
}

/// Returns one of several kinds of workflows.
protocol::WorkflowSpec specOf(std::uint8_t kind, std::uint64_t nowMs) {
  protocol::WorkflowSpec spec;
  spec.set_payload("payload");
  switch (kind % 6) {
  case 0:
    *spec.add_steps() = stepOf(2, 2800);
    break;
  case 1: {
    *spec.add_steps() = stepOf(3, 1000);
    protocol::StepSpec second = stepOf(2, 1000);
    second.add_after(0);
    *spec.add_steps() = second;
    break;
  }
  case 2: {
    protocol::StepSpec gang = stepOf(3, 4000);
    gang.set_gang(true);
    gang.set_checkpoints(true);
    *spec.add_steps() = gang;
    break;
  }
  case 3:
    *spec.add_steps() = stepOf(2, 1000);
    spec.set_repeats(3);
    spec.set_first_at_unix_ms(nowMs);
    spec.set_interval_ms(100);
    break;
  case 4:
    *spec.add_steps() = stepOf(2, 1000);
    spec.mutable_steps(0)->set_long_running(true);
    break;
  default:
    *spec.add_steps() = stepOf(4, 500);
    spec.mutable_steps(0)->set_max_per_runner(1);
    break;
  }
  return spec;
}

std::string idOf(std::size_t number) { return fmt::format("{:016x}", number); }

} // namespace

std::ostream &operator<<(std::ostream &out, const WorkflowAction &action) {
  return out << fmt::format("{{{}, {}, {}}}", int(action.Kind), action.A,
                            action.B);
}

WorkflowSimulator::WorkflowSimulator() : Now(std::chrono::seconds(100)) {
  protocol::WorkflowRecord first;
  protocol::CellConfig *config = first.add_changes()->mutable_configure();
  config->set_version(++ConfigVersion);
  config->add_pools()->set_name("pool");
  for (const char *name : {"plain", "advised"}) {
    protocol::QueueConfig *queue = config->add_queues();
    queue->set_name(name);
    queue->set_host("host");
    queue->set_path_prefix(fmt::format("/{}/", name));
    queue->set_pool("pool");
    queue->set_timeout_ms(3000);
    queue->set_max_attempts(2);
    queue->set_latency_target_ms(60'000);
    queue->set_stretch_permille(4000);
  }
  protocol::AdviceTerms *terms = config->mutable_queues(1)->mutable_advice();
  terms->set_decision_us(10'000);
  terms->set_per_runner_us(1000);
  terms->set_validity_ms(TicketValidityMs);
  addAccounts(*config);
  apply(first);
  changeLeader(0);
  for (std::size_t i = 0; i < InitialRunners; ++i) {
    addRunner();
  }
}

Moment WorkflowSimulator::at() const {
  return {Now, static_cast<std::uint64_t>(clockMs())};
}

std::int64_t WorkflowSimulator::clockMs() const {
  return std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())
      .count();
}

/// Applies a record from its serialized bytes, as replicas do.
void WorkflowSimulator::apply(const protocol::WorkflowRecord &record) {
  protocol::WorkflowRecord read;
  if (!read.ParseFromString(record.SerializeAsString())) {
    throw std::logic_error("a proposed record can't be parsed");
  }
  State.apply(read);
}

void WorkflowSimulator::collect() {
  WorkflowEffects effects = Leader->takeEffects(at());
  for (const ProposedBatch &it : effects.Batches) {
    noteAssigned(it.Record);
  }
  std::move(effects.Batches.begin(), effects.Batches.end(),
            std::back_inserter(Batches));
  for (StartOrder &it : effects.Starts) {
    checkOrderedStart(it);
    Orders.push_back({OrderKind::Start,
                      Term,
                      std::move(it),
                      {},
                      {},
                      clockMs(),
                      ++OrdersSent});
  }
  for (StopOrder &it : effects.Stops) {
    Orders.push_back({OrderKind::Stop,
                      Term,
                      {},
                      std::move(it),
                      {},
                      clockMs(),
                      ++OrdersSent});
  }
  for (PollOrder &it : effects.Polls) {
    Orders.push_back({OrderKind::Poll,
                      Term,
                      {},
                      {},
                      std::move(it),
                      clockMs(),
                      ++OrdersSent});
  }
  std::move(effects.Advice.begin(), effects.Advice.end(),
            std::back_inserter(Advice));
}

void WorkflowSimulator::perform(const WorkflowAction &action) {
  using Kind = WorkflowActionKind;
  const bool anySubmitted = !Submitted.empty();
  const std::string chosen =
      anySubmitted ? Submitted[action.A % Submitted.size()] : idOf(0);
  switch (action.Kind) {
  case Kind::Submit:
    submit(action.A, action.B);
    break;
  case Kind::SubmitAgain:
    submitAs(chosen, action.B, action.B);
    break;
  case Kind::Cancel:
  case Kind::QueryState: {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path(fmt::format("/plain/{}", chosen));
    call.set_api_key(keyFor(chosen, 0));
    action.Kind == Kind::Cancel ? (void)call.mutable_cancel()
                                : (void)call.mutable_state();
    Leader->call(
        call, [](const protocol::WorkflowAnswer &) {}, at());
    break;
  }
  case Kind::StoreBatch:
    storeBatch();
    break;
  case Kind::DeliverOrder:
  case Kind::LoseAnswer:
  case Kind::HoldAnswer:
    if (!Orders.empty()) {
      const Answer outcome = carryOut(takeOrder(action.A));
      if (action.Kind == Kind::DeliverOrder) {
        answer(outcome);
      } else if (action.Kind == Kind::HoldAnswer) {
        Answers.push_back(outcome);
      } else {
        loseOrder(outcome.To);
      }
    }
    break;
  case Kind::DeliverAnswer:
    if (!Answers.empty()) {
      const auto it =
          std::next(Answers.begin(), action.A % std::ptrdiff_t(Answers.size()));
      const Answer delivered = std::move(*it);
      Answers.erase(it);
      answer(delivered);
    }
    break;
  case Kind::LoseOrder:
    if (!Orders.empty()) {
      const Order lost = takeOrder(action.A);
      if (action.B % 4 == 1) {
        answer({lost, OrderAnswer::Unreachable, {}});
      } else if (action.B % 4 == 3) {
        answer({lost, OrderAnswer::NotSent, {}});
      } else {
        loseOrder(lost);
      }
    }
    break;
  case Kind::EndRun:
    if (Runner *runner = runnerAt(action.A); runner && !runner->Runs.empty()) {
      const auto run = std::next(
          runner->Runs.begin(), action.B % std::ptrdiff_t(runner->Runs.size()));
      finishRun(*runner, RunKey(run->first), action.B % 4 != 0);
    }
    break;
  case Kind::AdvanceTime:
    advanceTime(TimeUnit * (1 + action.A % 32));
    break;
  case Kind::AnswerAdvice:
  case Kind::FailAdvice:
    answerAdvice(action.A, action.Kind == Kind::AnswerAdvice);
    break;
  case Kind::AgentSeen:
    Leader->agentSeen(fmt::format("agent-{}", action.A % 3), at());
    break;
  case Kind::RunnerStarts:
    addRunner();
    break;
  case Kind::RunnerCrashes:
    if (const Runner *runner = runnerAt(action.A)) {
      if (action.B % 2 == 1) {
        Silent.insert(runner->Info.id());
      }
      countCrash(*runner);
      Runners.erase(runner->Info.id());
    }
    break;
  case Kind::RunnerDrains:
    if (Runner *runner = runnerAt(action.A)) {
      runner->Info.set_draining(true);
      heartbeat(*runner);
    }
    break;
  case Kind::RunnerLeaves:
    if (Runner *runner = runnerAt(action.A)) {
      if (action.B % 4 == 1) {
        leaveUnacknowledged(*runner);
      } else {
        leave(*runner, action.B % 4 == 3);
      }
    }
    break;
  case Kind::RunnerReborn:
    restart(action.A, action.B);
    break;
  case Kind::Heartbeat:
    if (Runner *runner = runnerAt(action.A)) {
      heartbeat(*runner, action.B % 4 == 3);
    }
    break;
  case Kind::DeliverHeldMessage:
    if (!HeldMessages.empty()) {
      const Message message = std::move(HeldMessages.front());
      HeldMessages.pop_front();
      deliverMessage(message);
    }
    break;
  case Kind::ChangeLeader:
    changeLeader(action.A);
    break;
  case Kind::RestoreSnapshot:
    restoreSnapshot();
    break;
  case Kind::Configure:
    configure(action.A);
    break;
  case Kind::ChangeCapacity:
    if (Runner *runner = runnerAt(action.A)) {
      changeCapacity(*runner, action.B);
    }
    break;
  }
  collect();
  checkFailed();
  checkBegun();
}

/// A workflow of which no runner has begun a task is waiting.
void WorkflowSimulator::checkBegun() const {
  for (const auto &[id, workflow] : State.workflows()) {
    const auto first = Starts.lower_bound({{id, 0, 0}, 0});
    const bool begun =
        first != Starts.end() && first->first.Step.Workflow == id;
    if (workflow.Started && !begun) {
      throw std::logic_error(
          fmt::format("{} counts as begun and no task of it was started", id));
    }
  }
}

WorkflowSimulator::Runner *WorkflowSimulator::runnerAt(std::uint8_t choice) {
  if (Runners.empty()) {
    return nullptr;
  }
  return &std::next(Runners.begin(), choice % std::ptrdiff_t(Runners.size()))
              ->second;
}

WorkflowSimulator::Order WorkflowSimulator::takeOrder(std::uint8_t choice) {
  const auto it =
      std::next(Orders.begin(), choice % std::ptrdiff_t(Orders.size()));
  Order order = std::move(*it);
  Orders.erase(it);
  return order;
}

void WorkflowSimulator::loseOrder(const Order &lost) {
  answer({lost, OrderAnswer::Silent, {}});
}

void WorkflowSimulator::submit(std::uint8_t kind, std::uint8_t queue) {
  Submitted.push_back(idOf(Submitted.size()));
  if (queue % DeadlyChoices >= DeadlyChoices - 2) {
    Deadly.insert(Submitted.back());
  }
  submitAs(Submitted.back(), kind, queue);
}

void WorkflowSimulator::submitAs(const std::string &id, std::uint8_t kind,
                                 std::uint8_t queue) {
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path(
      fmt::format("/{}/{}", queue % 2 == 0 ? "plain" : "advised", id));
  call.set_api_key(keyFor(id, queue));
  *call.mutable_submit() = specOf(kind, at().UnixMs);
  Leader->call(
      call, [](const protocol::WorkflowAnswer &) {}, at());
}

void WorkflowSimulator::storeBatch() {
  if (Batches.empty()) {
    return;
  }
  const ProposedBatch batch = std::move(Batches.front());
  Batches.pop_front();
  apply(batch.Record);
  Leader->stored(batch, at());
}

/// Carries out an order on the runner that has its id now.
WorkflowSimulator::Answer WorkflowSimulator::carryOut(Order order) {
  Answer outcome;
  switch (order.Kind) {
  case OrderKind::Start:
    outcome.Result = start(order);
    break;
  case OrderKind::Stop:
    outcome.Result = stop(order);
    break;
  case OrderKind::Poll:
    outcome.Poll = poll(order);
    break;
  }
  outcome.To = std::move(order);
  return outcome;
}

/// Gives the outcome of an order to the leader that sent it, if it still leads.
void WorkflowSimulator::answer(const Answer &answer) {
  const Order &order = answer.To;
  if (order.Term != Term) {
    return;
  }
  switch (order.Kind) {
  case OrderKind::Start:
    Leader->startAnswered(order.Start, answer.Result, at());
    return;
  case OrderKind::Stop:
    Leader->stopAnswered(order.Stop, answer.Result, at());
    return;
  case OrderKind::Poll:
    hear(order.Poll.Runner, answer.Poll);
    Leader->pollAnswered(order.Poll, answer.Poll, at());
    return;
  }
}

/// Checks that the first start order of a run follows the storage of its
/// assignment and is not sent for a task that is done or a workflow that has
/// ended. An order without an answer may be sent again.
void WorkflowSimulator::checkOrderedStart(const StartOrder &order) {
  if (!OrderedStarts.emplace(Term, order.Run).second) {
    return;
  }
  const Task *task = State.findTask(order.Run.Task);
  const Workflow *workflow = State.find(order.Run.Task.Step.Workflow);
  if (!task || task->Done || task->Run != order.Run.Run ||
      task->Runner != order.Runner || isFinal(workflow->CurrentPhase)) {
    throw std::logic_error(
        fmt::format("{} is ordered to start without being assigned",
                    textOf(order.Run.Task)));
  }
}

/// The advice service approves the same runners for a step each time.
void WorkflowSimulator::answerAdvice(std::uint8_t choice, bool succeeded) {
  if (Advice.empty()) {
    return;
  }
  const auto it =
      std::next(Advice.begin(), choice % std::ptrdiff_t(Advice.size()));
  protocol::AdviceResult result;
  result.set_order(it->Order);
  result.set_answered(succeeded);
  result.set_validity_ms(TicketValidityMs);
  for (std::size_t i = 0; succeeded && i < it->Runners.size(); ++i) {
    const std::string &id = it->Runners[i];
    const bool approves = i > 0 || choice % 2 == 0;
    if (!Approvals.try_emplace({it->Step, id}, approves).first->second) {
      continue;
    }
    const std::string text = fmt::format("ticket-{}", Tickets.size());
    Tickets[text] = {it->Step, id, LatestBirth[id],
                     clockMs() + TicketValidityMs};
    protocol::ApprovedRunner *approved = result.add_approved();
    approved->set_runner(id);
    approved->set_ticket(text);
  }
  Advice.erase(it);
  Leader->adviceAnswered(result, at());
}

/// Another leader takes over. Some of the batches in flight (`stored` modulo
/// their number plus one) were stored before, the others are lost.
void WorkflowSimulator::changeLeader(std::uint8_t stored) {
  const std::size_t kept = Batches.empty() ? 0 : stored % (Batches.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) {
    apply(Batches[i].Record);
  }
  Batches.clear();
  Advice.clear();
  for (auto &[id, runner] : Runners) {
    runner.ToldCapacity.reset();
  }
  ++Term;
  Leader =
      std::make_unique<WorkflowLeader>(WorkflowLeaderOptions(), State, at());
}

/// The leader's VM restarts from a snapshot.
void WorkflowSimulator::restoreSnapshot() {
  protocol::WorkflowSnapshot read;
  if (!read.ParseFromString(State.snapshot().SerializeAsString())) {
    throw std::logic_error("a snapshot can't be parsed");
  }
  Leader.reset();
  State = WorkflowState();
  State.restore(read);
  changeLeader(0);
}

/// Changes the timeout of a queue, and the accounts.
void WorkflowSimulator::configure(std::uint8_t choice) {
  protocol::CellConfig config = State.config();
  config.set_version(++ConfigVersion);
  config.mutable_queues(0)->set_timeout_ms(1000 + choice);
  changeAccounts(config, choice);
  Leader->configure(
      config, [] {}, at());
}

void runSession(const std::vector<WorkflowAction> &actions) {
  WorkflowSimulator simulator;
  for (const WorkflowAction &it : actions) {
    simulator.perform(it);
  }
  simulator.settle();
}

} // namespace masticwinch::fuzzing
