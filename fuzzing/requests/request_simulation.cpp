#include "fuzzing/requests/request_simulation.hpp"

#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <algorithm>

namespace masticwinch::fuzzing {
namespace {

constexpr std::size_t EntryCount = 3;
constexpr std::size_t UpstreamCount = 3;
constexpr std::uint32_t SlotsEach = 2;
constexpr Milliseconds ClaimResend{200};
constexpr Milliseconds CompletionStep{100};
constexpr int CompletionRounds = 100;
constexpr Milliseconds ShortestPause{1000};
constexpr Milliseconds PauseStep{40};
constexpr Milliseconds LeaderlessStep{500};
constexpr int LeaderlessChoices = 8;

protocol::RequestPolicy policy(protocol::WorkClass workClass, bool repeatable,
                               Milliseconds deadline,
                               std::uint32_t hedgeAfter) {
  protocol::RequestPolicy out;
  out.set_work_class(workClass);
  out.set_repeatable(repeatable);
  out.set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
  out.set_hedge_after_ms(hedgeAfter);
  return out;
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Step &step) {
  return out << nameOf(step.Kind) << ' ' << int{step.A} << ' ' << int{step.B};
}

RequestSimulation::RequestSimulation(Milliseconds deadline) {
  constexpr std::uint32_t HedgeAfterMillis = 50;
  protocol::Profile &billed = *change("profile/billed").mutable_profile();
  billed.set_name("billed");
  *billed.mutable_spec()->mutable_requests() =
      policy(protocol::URGENT, false, deadline, 0);
  protocol::Profile &lookup = *change("profile/lookup").mutable_profile();
  lookup.set_name("lookup");
  *lookup.mutable_spec()->mutable_requests() =
      policy(protocol::PATIENT, true, deadline, HedgeAfterMillis);
  Nodes.resize(EntryCount);
  for (std::size_t i = 0; i < EntryCount; ++i) {
    Nodes[i].Name = "e" + std::to_string(i);
    entryStarts(static_cast<std::uint8_t>(i));
  }
  for (std::size_t i = 0; i < UpstreamCount; ++i) {
    announce("u" + std::to_string(i));
  }
}

std::uint64_t RequestSimulation::wallMillis() const {
  constexpr std::uint64_t Start = 1'000'000;
  return Start +
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<Milliseconds>(now().time_since_epoch())
                 .count());
}

protocol::ConfigItem &RequestSimulation::change(const std::string &name) {
  protocol::ConfigItem &item = Config[name];
  item.set_revision(++Revision);
  return item;
}

RequestSimulation::Node *RequestSimulation::runningNode(std::uint8_t choice) {
  Node &node = Nodes[choice % Nodes.size()];
  return node.EntryDispatcher == nullptr || isPaused(node) ? nullptr : &node;
}

RequestSimulation::Node *
RequestSimulation::findNode(const std::string &name,
                            std::uint64_t incarnation) {
  for (Node &it : Nodes) {
    if (it.Name == name && it.Incarnation == incarnation &&
        it.EntryDispatcher != nullptr) {
      return &it;
    }
  }
  return nullptr;
}

void RequestSimulation::post(std::function<void()> message) {
  Network.push_back(std::move(message));
}

void RequestSimulation::deliver(std::size_t index, bool keep) {
  const std::function<void()> message = Network[index];
  if (!keep) {
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(index));
  }
  message();
}

void RequestSimulation::advance(Milliseconds by) {
  Clock.advance(by);
  std::vector<Connection> expired;
  std::erase_if(Connections, [&](const Connection &it) {
    if (it.TimeoutAt <= now()) {
      expired.push_back(it);
      return true;
    }
    return false;
  });
  for (const Connection &it : expired) {
    ended(it, DispatchResult::TimedOut);
  }
  for (Node &it : Nodes) {
    if (it.EntryDispatcher == nullptr || isPaused(it)) {
      continue;
    }
    if (it.PausedUntil != SteadyTime{}) {
      resume(it, Network);
      continue;
    }
    for (const auto &result : std::exchange(it.HeldResults, {})) {
      result();
    }
    it.EntryDispatcher->tick(now());
    collect(it);
  }
}

void RequestSimulation::pause(Node &node, Milliseconds duration) {
  node.PausedUntil = now() + duration;
}

/// Continues a stopped process; any message that it holds may come first.
void RequestSimulation::resume(Node &node,
                               std::vector<std::function<void()>> &network) {
  node.PausedUntil = SteadyTime{};
  for (auto &message : std::exchange(node.HeldMessages, {})) {
    network.push_back(std::move(message));
  }
}

/// Lets time pass with most messages delivered in order; a connection may end.
void RequestSimulation::proceed(std::uint8_t ended, std::uint8_t delivered) {
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    Node *node = runningNode(static_cast<std::uint8_t>(i));
    if (node != nullptr) {
      hello(*node);
      sendClaims(*node);
    }
  }
  for (int i = 0; i < delivered && !Network.empty(); ++i) {
    deliver(0, false);
  }
  Connection *connection = chooseConnection(ended);
  if (connection != nullptr && delivered % 2 == 0) {
    receive(*connection);
    end(indexOf(*connection), connection->Received ? DispatchResult::Answered
                                                   : DispatchResult::Broken);
  }
  advance(CompletionStep);
}

/// Stops the owner of an upstream and, for some durations, the leader too.
void RequestSimulation::ownerFallsSilent(std::uint8_t upstream,
                                         std::uint8_t duration) {
  RequestConfig known;
  for (const auto &[name, item] : Config) {
    known.apply(item);
  }
  const std::string owner =
      ownerOf("u" + std::to_string(upstream % UpstreamCount), known.entries());
  for (Node &it : Nodes) {
    if (it.Name == owner && it.EntryDispatcher != nullptr && !isPaused(it)) {
      pause(it, ShortestPause + duration * PauseStep);
      LeaderBackAt =
          std::max(LeaderBackAt,
                   now() + (duration % LeaderlessChoices) * LeaderlessStep);
    }
  }
}

void RequestSimulation::collect(Node &node) {
  for (const RequestEffect &it : node.EntryDispatcher->takeEffects()) {
    performEffect(node, it);
  }
}

void RequestSimulation::performEffect(Node &node, const RequestEffect &effect) {
  if (const auto *start = std::get_if<StartDispatch>(&effect)) {
    startDispatch(node, *start);
  } else if (const auto *cancel = std::get_if<CancelDispatch>(&effect)) {
    cancelDispatch(node, cancel->Number);
  } else if (const auto *reply = std::get_if<ReplyToCaller>(&effect)) {
    Oracle.replied(node.Requests.at(reply->Request), *reply);
  } else if (const auto *claim = std::get_if<ChangeClaim>(&effect)) {
    node.Claims->add(*claim);
  } else if (const auto *message = std::get_if<PeerMessage>(&effect)) {
    sendPeer(node, *message);
  }
}

void RequestSimulation::startDispatch(Node &node, const StartDispatch &start) {
  const RunningUpstream &upstream = Upstreams.at(start.Upstream);
  RequestOracle::require(
      now() < start.StartBefore,
      "a dispatch started after the end of its slot's lease");
  RequestOracle::require(upstream.Announced ||
                             upstream.LeftAt + SlotTiming{}.ServingLease >=
                                 now(),
                         "an upstream that left got a new request");
  const ArrivalId arrival = node.Requests.at(start.Request);
  Connections.push_back({node.Name, node.Incarnation, start.Number, arrival,
                         Sent.at(arrival - 1).Logical, start.Upstream,
                         upstream.Incarnation, now() + start.Timeout});
  checkSlots();
}

void RequestSimulation::checkSlots() const {
  for (const auto &it : Upstreams) {
    const RunningUpstream &upstream = it.second;
    const auto used = std::count_if(
        Connections.begin(), Connections.end(), [&](const Connection &open) {
          return open.Upstream == it.first &&
                 open.UpstreamIncarnation == upstream.Incarnation;
        });
    Oracle.checkSlotUse(it.first, static_cast<std::size_t>(used),
                        upstream.Slots);
  }
}

void RequestSimulation::cancelDispatch(Node &node, DispatchNumber number) {
  const std::string name = node.Name;
  const std::uint64_t incarnation = node.Incarnation;
  post([this, name, incarnation, number] {
    for (std::size_t i = 0; i < Connections.size(); ++i) {
      if (Connections[i].Node == name &&
          Connections[i].Incarnation == incarnation &&
          Connections[i].Number == number) {
        end(i, DispatchResult::Cancelled);
        return;
      }
    }
  });
}

void RequestSimulation::sendPeer(const Node &node, const PeerMessage &message) {
  const EntryIncarnation from{node.Name, node.Incarnation};
  post([this, from, message] { receivePeer(from, message); });
}

void RequestSimulation::receivePeer(const EntryIncarnation &from,
                                    const PeerMessage &message) {
  for (Node &it : Nodes) {
    if (it.Name != message.To || it.EntryDispatcher == nullptr ||
        CutUntil[{from.Name, it.Name}] > now()) {
      continue;
    }
    if (isPaused(it)) {
      it.HeldMessages.push_back(
          [this, from, message] { receivePeer(from, message); });
      continue;
    }
    it.EntryDispatcher->peerMessageReceived(from, message.Message, now());
    collect(it);
  }
}

void RequestSimulation::send(std::uint8_t choice,
                             const SimulatedRequest &request) {
  Node *node = runningNode(choice);
  if (node == nullptr) {
    return;
  }
  Sent.push_back(request);
  const ArrivalId id = Oracle.sent(request.Logical, !request.Billed);
  RequestArrival arrival;
  arrival.Profile = request.Billed ? "billed" : "lookup";
  arrival.Caller = "caller";
  arrival.Key = request.Key;
  const RequestNumber number =
      node->EntryDispatcher->requestArrived(std::move(arrival), now());
  node->Requests[number] = id;
  collect(*node);
}

void RequestSimulation::callerLeaves(std::uint8_t choice) {
  Node *node = runningNode(choice);
  if (node == nullptr || node->Requests.empty()) {
    return;
  }
  const auto [number, id] = *node->Requests.rbegin();
  if (Oracle.isWaiting(id)) {
    Oracle.callerDisconnected(id);
    node->EntryDispatcher->callerDisconnected(number, now());
    collect(*node);
  }
}

void RequestSimulation::hello(Node &node) {
  const SteadyTime sentAt = now();
  const std::string name = node.Name;
  const std::uint64_t incarnation = node.Incarnation;
  post(
      [this, name, incarnation, sentAt] { update(name, incarnation, sentAt); });
}

/// The leader answers a hello with the whole configuration and a serving lease.
void RequestSimulation::update(const std::string &name,
                               std::uint64_t incarnation, SteadyTime helloAt) {
  const protocol::ConfigItem &member = Config.at("entry/" + name);
  Node *node = findNode(name, incarnation);
  if (!hasLeader() || node == nullptr || !node->Member ||
      node->UnheardUntil > now() ||
      member.entry().incarnation() != incarnation) {
    return;
  }
  node->LeaseEnd = now() + SlotTiming{}.ServingLease;
  std::vector<protocol::ConfigItem> items;
  for (const auto &[key, item] : Config) {
    items.push_back(item);
  }
  post([this, name, incarnation, helloAt, items] {
    receiveUpdate({name, incarnation}, helloAt, items);
  });
}

void RequestSimulation::receiveUpdate(
    const EntryIncarnation &to, SteadyTime helloAt,
    const std::vector<protocol::ConfigItem> &items) {
  Node *node = findNode(to.Name, to.Incarnation);
  if (node == nullptr) {
    return;
  }
  if (isPaused(*node)) {
    node->HeldMessages.push_back(
        [this, to, helloAt, items] { receiveUpdate(to, helloAt, items); });
    return;
  }
  node->EntryDispatcher->configure(items, now());
  node->ServingUntil =
      std::max(node->ServingUntil, helloAt + SlotTiming{}.ServingLease);
  node->EntryDispatcher->serveUntil(node->ServingUntil, now());
  collect(*node);
}

void RequestSimulation::sendClaims(Node &node) {
  if (const auto batch = node.Claims->due(now())) {
    post([this, batch = *batch] { applyClaims(batch); });
  }
}

void RequestSimulation::applyClaims(const protocol::ClaimBatch &batch) {
  if (!hasLeader()) {
    return;
  }
  const std::vector<protocol::ClaimResult> results = Table.apply(
      batch, wallMillis(), [this](const protocol::ClaimOwner &owner) {
        const protocol::ConfigItem &item = Config.at("entry/" + owner.entry());
        return !item.removed() &&
               item.entry().incarnation() == owner.incarnation();
      });
  post([this, results, entry = batch.entry(), number = batch.number(),
        incarnation = batch.incarnation()] {
    Node *node = findNode(entry, incarnation);
    if (node == nullptr || isPaused(*node) ||
        !node->Claims->acknowledged(number)) {
      return;
    }
    for (const protocol::ClaimResult &it : results) {
      node->EntryDispatcher->claimAnswered(it, now());
    }
    collect(*node);
  });
}

RequestSimulation::Connection *
RequestSimulation::chooseConnection(std::uint8_t choice) {
  return Connections.empty() ? nullptr
                             : &Connections[choice % Connections.size()];
}

void RequestSimulation::receive(Connection &connection) {
  const RunningUpstream &upstream = Upstreams.at(connection.Upstream);
  if (connection.Received ||
      connection.UpstreamIncarnation != upstream.Incarnation) {
    return;
  }
  connection.Received = true;
  Oracle.executionStarted(connection.Arrival);
}

std::size_t RequestSimulation::indexOf(const Connection &connection) const {
  return static_cast<std::size_t>(&connection - Connections.data());
}

void RequestSimulation::end(std::size_t index, DispatchResult result) {
  const Connection connection = Connections[index];
  Connections.erase(Connections.begin() + static_cast<std::ptrdiff_t>(index));
  ended(connection, result);
}

/// Reports the result of a closed connection to its entry VM if that
/// incarnation is still running.
void RequestSimulation::ended(const Connection &connection,
                              DispatchResult result) {
  Node *node = findNode(connection.Node, connection.Incarnation);
  if (node == nullptr) {
    return;
  }
  if (isPaused(*node) || node->PausedUntil != SteadyTime{}) {
    node->HeldResults.push_back(
        [this, connection, result] { ended(connection, result); });
    return;
  }
  AnswerPointer answer;
  if (result == DispatchResult::Answered) {
    answer = std::make_shared<const Answer>(
        Answer{200, "text/plain", RequestOracle::bodyOf(connection.Logical)});
  }
  node->EntryDispatcher->dispatchEnded(connection.Number, result, answer,
                                       now());
  collect(*node);
}

void RequestSimulation::announce(const std::string &name) {
  RunningUpstream &running = Upstreams[name];
  running.Incarnation = ++LastIncarnation;
  running.Slots = SlotsEach;
  running.Announced = true;
  protocol::ConfigItem &item = change("upstream/" + name);
  item.set_removed(false);
  protocol::Upstream &out = *item.mutable_upstream();
  out.set_returning(!out.name().empty());
  out.set_name(name);
  out.set_incarnation(running.Incarnation);
  out.set_slots(SlotsEach);
}

void RequestSimulation::upstreamRestarts(std::uint8_t choice, bool again) {
  const std::string name = "u" + std::to_string(choice % UpstreamCount);
  RunningUpstream &running = Upstreams.at(name);
  if (running.Announced && !again) {
    running.Announced = false;
    running.LeftAt = now();
    change("upstream/" + name).set_removed(true);
    return;
  }
  if (again) {
    announce(name);
    for (std::size_t i = Connections.size(); i-- > 0;) {
      if (i < Connections.size() && Connections[i].Upstream == name &&
          Connections[i].UpstreamIncarnation != running.Incarnation) {
        end(i, DispatchResult::Broken);
      }
    }
  }
}

void RequestSimulation::entryDies(Node &node) {
  for (const auto &[number, id] : node.Requests) {
    Oracle.entryDied(id);
  }
  node.Requests.clear();
  node.HeldMessages.clear();
  node.HeldResults.clear();
  node.EntryDispatcher.reset();
  std::erase_if(Connections, [&node](const Connection &it) {
    return it.Node == node.Name && !it.Received;
  });
}

void RequestSimulation::entryStarts(std::uint8_t choice) {
  Node &node = Nodes[choice % Nodes.size()];
  if (node.EntryDispatcher != nullptr) {
    return;
  }
  if (node.Incarnation != 0) {
    Table.markClaimsUnknown(node.Name, node.Incarnation);
  }
  node.Incarnation = ++LastIncarnation;
  DispatcherOptions options;
  options.Self = {node.Name, node.Incarnation};
  options.Seed = node.Incarnation;
  node.EntryDispatcher = std::make_unique<Dispatcher>(options);
  node.Claims = std::make_unique<ClaimClient>(options.Self, ClaimResend);
  node.ServingUntil = SteadyTime{};
  node.Member = true;
  node.Leaving = false;
  protocol::ConfigItem &item = change("entry/" + node.Name);
  item.set_removed(false);
  protocol::EntryMember &out = *item.mutable_entry();
  out.set_name(node.Name);
  out.set_incarnation(node.Incarnation);
  out.set_leaving(false);
  out.set_yielded(false);
}

void RequestSimulation::entryLapses(std::uint8_t choice) {
  Node &node = Nodes[choice % Nodes.size()];
  if (hasLeader() && node.Member && node.LeaseEnd < now() &&
      (node.EntryDispatcher == nullptr || node.ServingUntil < now())) {
    removeEntry(node);
  }
}

/// The leader makes a silent entry VM yield its upstreams; an entry VM that has
/// yielded may get them back at any time. The change may be committed late,
/// when the entry VM serves again.
void RequestSimulation::entryYields(std::uint8_t choice) {
  Node &node = Nodes[choice % Nodes.size()];
  const bool silent =
      node.LeaseEnd < now() &&
      (node.EntryDispatcher == nullptr || node.ServingUntil < now());
  const bool yielded = Config["entry/" + node.Name].entry().yielded();
  if (!hasLeader() || !node.Member || (!yielded && !silent)) {
    return;
  }
  post([this, name = node.Name, incarnation = node.Incarnation, yielded] {
    const protocol::ConfigItem &item = Config.at("entry/" + name);
    if (hasLeader() && !item.removed() &&
        item.entry().incarnation() == incarnation &&
        item.entry().yielded() == yielded) {
      change("entry/" + name).mutable_entry()->set_yielded(!yielded);
    }
  });
}

void RequestSimulation::removeEntry(Node &node) {
  node.Member = false;
  change("entry/" + node.Name).set_removed(true);
  Table.markClaimsUnknown(node.Name, node.Incarnation);
}

void RequestSimulation::entryLeaves(Node &node) {
  if (!node.Leaving && node.Member) {
    node.Leaving = true;
    node.EntryDispatcher->drain();
    change("entry/" + node.Name).mutable_entry()->set_leaving(true);
  } else if (node.Leaving && node.Member && node.EntryDispatcher->idle() &&
             node.Claims->idle()) {
    entryDies(node);
    removeEntry(node);
  }
}

void RequestSimulation::apply(const Step &step) {
  Node *node = runningNode(step.A);
  Connection *connection = chooseConnection(step.A);
  const std::size_t index = connection == nullptr ? 0 : indexOf(*connection);
  switch (step.Kind) {
  case StepKind::Send:
    send(step.A, {++LastLogical, "", step.B % 2 == 0});
    break;
  case StepKind::SendKeyed:
    ++LastLogical;
    send(step.A, {LastLogical, "k" + std::to_string(LastLogical), true});
    break;
  case StepKind::Resend:
    if (!Sent.empty() && !Sent[step.B % Sent.size()].Key.empty()) {
      send(step.A, SimulatedRequest(Sent[step.B % Sent.size()]));
    }
    break;
  case StepKind::CallerLeaves:
    callerLeaves(step.A);
    break;
  case StepKind::Deliver:
  case StepKind::Duplicate:
    if (!Network.empty()) {
      deliver(step.A % Network.size(), step.Kind == StepKind::Duplicate);
    }
    break;
  case StepKind::Drop:
    if (!Network.empty()) {
      Network.erase(Network.begin() +
                    static_cast<std::ptrdiff_t>(step.A % Network.size()));
    }
    break;
  case StepKind::Advance:
    advance(Milliseconds(1 + step.A * (step.B % 4 == 0 ? 10 : 1)));
    break;
  case StepKind::Hello:
    if (node != nullptr) {
      hello(*node);
    }
    break;
  case StepKind::SendClaims:
    if (node != nullptr) {
      sendClaims(*node);
    }
    break;
  case StepKind::UpstreamReceives:
    if (connection != nullptr) {
      receive(*connection);
    }
    break;
  case StepKind::UpstreamAnswers:
    if (connection != nullptr) {
      receive(*connection);
      if (connection->Received) {
        end(index, DispatchResult::Answered);
      }
    }
    break;
  case StepKind::UpstreamRefuses:
  case StepKind::UpstreamUnreachable:
    if (connection != nullptr && !connection->Received) {
      end(index, step.Kind == StepKind::UpstreamRefuses
                     ? DispatchResult::RefusedNotRun
                     : DispatchResult::NotSent);
    }
    break;
  case StepKind::AnswerBreaks:
    if (connection != nullptr) {
      end(index, DispatchResult::Broken);
    }
    break;
  case StepKind::UpstreamRestarts:
    upstreamRestarts(step.A, true);
    break;
  case StepKind::UpstreamLeaves:
    upstreamRestarts(step.A, false);
    break;
  case StepKind::EntryDies:
    if (node != nullptr) {
      entryDies(*node);
    }
    break;
  case StepKind::EntryStarts:
    entryStarts(step.A);
    break;
  case StepKind::EntryLapses:
    entryLapses(step.A);
    break;
  case StepKind::EntryYields:
    entryYields(step.A);
    break;
  case StepKind::EntryLeaves:
    if (node != nullptr) {
      entryLeaves(*node);
    }
    break;
  case StepKind::EntryPauses:
    if (node != nullptr) {
      pause(*node, ShortestPause + step.B * PauseStep);
    }
    break;
  case StepKind::OwnerFallsSilent:
    ownerFallsSilent(step.A, step.B);
    break;
  case StepKind::PeersCut:
    CutUntil[{Nodes[step.A % EntryCount].Name,
              Nodes[(step.A + 1) % EntryCount].Name}] =
        now() + step.B * PauseStep;
    break;
  case StepKind::LeaderUnheard:
    Nodes[step.A % EntryCount].UnheardUntil = now() + step.B * PauseStep;
    break;
  case StepKind::Proceed:
    proceed(step.A, step.B);
    break;
  }
}

void RequestSimulation::runToCompletion() {
  LeaderBackAt = now();
  CutUntil.clear();
  for (Node &it : Nodes) {
    it.PausedUntil = std::min(it.PausedUntil, now());
    it.UnheardUntil = SteadyTime{};
  }
  for (int round = 0; round < CompletionRounds; ++round) {
    for (Node &it : Nodes) {
      if (it.EntryDispatcher != nullptr) {
        hello(it);
        sendClaims(it);
      }
    }
    while (!Network.empty()) {
      deliver(0, false);
    }
    while (!Connections.empty()) {
      receive(Connections[0]);
      end(0, Connections[0].Received ? DispatchResult::Answered
                                     : DispatchResult::Broken);
    }
    advance(CompletionStep);
  }
  Oracle.checkAllReplied();
  for (const Node &it : Nodes) {
    RequestOracle::require(it.EntryDispatcher == nullptr ||
                               it.EntryDispatcher->idle(),
                           "a dispatcher still has requests after completion");
  }
}

void runSession(const std::vector<Step> &steps, Milliseconds deadline) {
  RequestSimulation simulation(deadline);
  for (const Step &it : steps) {
    simulation.apply(it);
  }
  simulation.runToCompletion();
}

} // namespace masticwinch::fuzzing
