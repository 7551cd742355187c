#include "fuzzing/replication/replica_group.hpp"

#include "masticwinch/coordination/replication/bootstrap.hpp"

#include <algorithm>

namespace masticwinch::fuzzing {

using replication::Membership;
using replication::Replica;
using replication::ReplicaId;
using replication::Role;

namespace {

constexpr Milliseconds StepTime{5};
constexpr std::int64_t MaxDriftPermille = 20;

template <class Packet> bool carriesMembership(const Packet &packet) {
  const auto &entries = packet.Message.append_request().entries();
  return std::any_of(entries.begin(), entries.end(), [](const auto &it) {
    return it.kind() == protocol::MEMBERSHIP;
  });
}

std::string describe(const protocol::LogEntry &entry) {
  return std::to_string(entry.kind()) + ":" + entry.data();
}

} // namespace

ReplicaGroup::ReplicaGroup(std::size_t count, std::uint64_t seed,
                           replication::ReplicaOptions options)
    : Options(options), Engine(seed), Nodes(count) {
  Membership initialMembers;
  std::uniform_int_distribution<std::int64_t> drift(-MaxDriftPermille,
                                                    MaxDriftPermille);
  for (std::size_t i = 0; i < count; ++i) {
    Nodes[i].Id = newId();
    Nodes[i].ClockPermille = 1000 + drift(Engine);
    initialMembers.Members.push_back(
        {Nodes[i].Id, "control-" + std::to_string(i + 1), "", "", false});
  }
  for (Node &it : Nodes) {
    it.Disk = MemoryDisk(replication::bootstrapState(initialMembers));
    start(it);
  }
}

ReplicaId ReplicaGroup::newId() { return {Engine(), Engine()}; }

SteadyTime ReplicaGroup::localTime(const Node &node) const {
  return SteadyTime(Now.time_since_epoch() * node.ClockPermille / 1000);
}

void ReplicaGroup::start(Node &node) {
  node.Applied.clear();
  node.AppliedIndex = 0;
  node.Paused = false;
  node.Writing.reset();
  node.Instance =
      std::make_unique<Replica>(Options, node.Id, node.Disk.recover(),
                                std::mt19937_64(Engine()), localTime(node));
}

void ReplicaGroup::run(Milliseconds time) {
  const SteadyTime end = Now + time;
  while (Now < end) {
    Now += StepTime;
    step();
  }
}

void ReplicaGroup::step() {
  deliver();
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    stepNode(i);
  }
  checkLeaders();
  maintainMembership();
}

void ReplicaGroup::deliver() {
  std::vector<Packet> due;
  const auto later =
      std::partition(Packets.begin(), Packets.end(),
                     [&](const Packet &it) { return it.DueAt > Now; });
  due.assign(std::make_move_iterator(later),
             std::make_move_iterator(Packets.end()));
  Packets.erase(later, Packets.end());
  if (Faults.InOrder) {
    std::sort(due.begin(), due.end(), [](const Packet &a, const Packet &b) {
      return a.Number < b.Number;
    });
  } else {
    std::shuffle(due.begin(), due.end(), Engine);
  }
  for (Packet &it : due) {
    Node &node = Nodes[it.To];
    if (node.Paused && node.Instance) {
      it.DueAt = Now + StepTime;
      Packets.push_back(std::move(it));
    } else if (node.Instance) {
      record(it.From, it.To, it.Message);
      node.Instance->receive(it.Message, localTime(node));
      collect(it.To);
    }
  }
}

void ReplicaGroup::stepNode(std::size_t index) {
  Node &node = Nodes[index];
  if (!node.Instance || node.Paused) {
    return;
  }
  if (node.Writing && Now >= node.WriteDoneAt) {
    const std::uint64_t sequence = node.Writing->Sequence;
    node.Disk.sync(*node.Writing);
    node.Writing.reset();
    node.Instance->persisted(sequence, localTime(node));
  }
  node.Instance->tick(localTime(node));
  collect(index);
}

void ReplicaGroup::collect(std::size_t index) {
  Node &node = Nodes[index];
  replication::Effects effects = node.Instance->takeEffects(localTime(node));
  if (effects.Restore) {
    node.Applied = effects.Restore->Data;
    node.AppliedIndex = effects.Restore->Index;
  }
  for (const protocol::LogEntry &it : effects.Committed) {
    apply(node, it);
  }
  if (effects.Write) {
    std::uniform_int_distribution<int> delay(0, 15);
    node.Writing = std::move(effects.Write);
    node.WriteDoneAt = Now + Milliseconds(delay(Engine));
  }
  for (const replication::OutgoingMessage &it : effects.Messages) {
    route(index, it);
  }
  for (const replication::ReadOutcome &it : effects.Reads) {
    const auto asked = PendingReads.find(it.Id);
    if (it.Confirmed && node.AppliedIndex < asked->second.AcceptedIndex) {
      throw Violation{"a confirmed read misses an accepted command"};
    }
    ConfirmedReads += it.Confirmed ? 1 : 0;
    PendingReads.erase(asked);
  }
}

void ReplicaGroup::apply(Node &node, const protocol::LogEntry &entry) {
  if (entry.index() != node.AppliedIndex + 1) {
    throw Violation{"a command was skipped or applied twice"};
  }
  node.AppliedIndex = entry.index();
  const auto [it, added] = Accepted.try_emplace(entry.index(), describe(entry));
  if (!added && it->second != describe(entry)) {
    throw Violation{"two replicas applied different commands at index " +
                    std::to_string(entry.index())};
  }
  if (entry.kind() == protocol::COMMAND) {
    node.Applied += entry.data() + "\n";
  }
}

bool ReplicaGroup::randomChance(unsigned permille) {
  return std::uniform_int_distribution<unsigned>(0, 999)(Engine) < permille;
}

void ReplicaGroup::route(std::size_t from,
                         const replication::OutgoingMessage &message) {
  const auto to = nodeOf(message.To);
  if (to) {
    for (const auto &it : message.Message.append_request().entries()) {
      Nodes[*to].EntryBytesSent += it.data().size();
    }
  }
  if (!to || Faults.BlockedLinks.contains({from, *to}) ||
      randomChance(Faults.LossPermille)) {
    return;
  }
  std::uniform_int_distribution<std::int64_t> delay(1, Faults.MaxDelay.count());
  const int copies = randomChance(Faults.DuplicatePermille) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Packets.push_back({Now + Milliseconds(delay(Engine)), NextPacket++, from,
                       *to, message.Message});
  }
}

/// Returns the node that currently has an identity; nothing if its disk was
/// wiped since.
std::optional<std::size_t> ReplicaGroup::nodeOf(ReplicaId id) const {
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    if (Nodes[i].Id == id) {
      return i;
    }
  }
  return std::nullopt;
}

void ReplicaGroup::checkLeaders() {
  for (const Node &node : Nodes) {
    if (!node.Instance || node.Instance->role() != Role::Leader) {
      continue;
    }
    const auto [it, added] =
        LeaderOfTerm.try_emplace(node.Instance->term(), node.Id);
    if (it->second != node.Id) {
      throw Violation{"two leaders in one term"};
    }
  }
  for (const Node &holder : Nodes) {
    if (!holder.Instance || !holder.Instance->holdsLease(localTime(holder))) {
      continue;
    }
    for (const Node &other : Nodes) {
      if (other.Instance && other.Instance->role() == Role::Leader &&
          other.Instance->term() > holder.Instance->term()) {
        throw Violation{"a second leader while a lease is held"};
      }
    }
  }
}

/// Acts as the operator: adds unlisted replicas, promotes learners, and removes
/// identities whose disk was wiped.
void ReplicaGroup::maintainMembership() {
  const auto at = leader();
  if (!at || Nodes[*at].Paused) {
    return;
  }
  Replica &replica = *Nodes[*at].Instance;
  const SteadyTime now = localTime(Nodes[*at]);
  if (replica.membership().Members.empty() || !replica.isReadyLeader()) {
    return;
  }
  for (const Node &it : Nodes) {
    const replication::Member *member = replica.membership().find(it.Id);
    if (!member && it.Instance) {
      (void)replica.addLearner({it.Id, "", "", "", true}, now);
      return;
    }
    if (member && member->Learner && replica.promote(it.Id, now)) {
      return;
    }
  }
  const bool settled = std::none_of(
      replica.membership().Members.begin(), replica.membership().Members.end(),
      [](const replication::Member &it) { return it.Learner; });
  for (const replication::Member &it : replica.membership().Members) {
    if (settled && !nodeOf(it.Id)) {
      (void)replica.remove(it.Id, now);
      return;
    }
  }
}

bool ReplicaGroup::propose(std::size_t node, const std::string &command) {
  Node &it = Nodes[node];
  if (!it.Instance || it.Paused) {
    return false;
  }
  const bool proposed = bool(it.Instance->propose(command, localTime(it)));
  collect(node);
  return proposed;
}

void ReplicaGroup::read(std::size_t node) {
  Node &it = Nodes[node];
  if (!it.Instance || it.Paused) {
    return;
  }
  const std::uint64_t last = Accepted.empty() ? 0 : Accepted.rbegin()->first;
  PendingReads[NextRead] = {node, last};
  it.Instance->read(NextRead++, localTime(it));
  collect(node);
}

void ReplicaGroup::transfer(std::size_t node) {
  if (Nodes[node].Instance && !Nodes[node].Paused) {
    (void)Nodes[node].Instance->transferLeadership(localTime(Nodes[node]));
    collect(node);
  }
}

void ReplicaGroup::removeMember(std::size_t leader, std::size_t node) {
  if (Nodes[leader].Instance && !Nodes[leader].Paused) {
    (void)Nodes[leader].Instance->remove(Nodes[node].Id,
                                         localTime(Nodes[leader]));
    collect(leader);
  }
}

void ReplicaGroup::crash(std::size_t node) {
  Nodes[node].Instance.reset();
  Nodes[node].Writing.reset();
}

void ReplicaGroup::restart(std::size_t node) {
  crash(node);
  start(Nodes[node]);
}

void ReplicaGroup::wipe(std::size_t node) {
  crash(node);
  Nodes[node].Id = newId();
  Nodes[node].Disk = MemoryDisk();
  start(Nodes[node]);
}

void ReplicaGroup::flipBit(std::size_t node, std::size_t position) {
  crash(node);
  Nodes[node].Disk.flipBit(position);
  start(Nodes[node]);
}

void ReplicaGroup::compact(std::size_t node) {
  Node &it = Nodes[node];
  if (it.Instance && !it.Paused) {
    it.Instance->compact(it.AppliedIndex, it.Applied);
    collect(node);
  }
}

void ReplicaGroup::healAll() {
  Faults = {};
  for (Node &it : Nodes) {
    it.Paused = false;
    if (!it.Instance) {
      start(it);
    }
  }
}

bool ReplicaGroup::canLoseNode(std::size_t node) const {
  const Membership *last = nullptr;
  std::uint64_t lastIndex = 0;
  for (const Node &it : Nodes) {
    if (it.Instance && it.Instance->lastIndex() >= lastIndex &&
        !it.Instance->membership().Members.empty()) {
      last = &it.Instance->membership();
      lastIndex = it.Instance->lastIndex();
    }
  }
  const bool allUp =
      std::all_of(Nodes.begin(), Nodes.end(), [](const Node &it) {
        return it.Instance && !it.Instance->membership().Members.empty();
      });
  const bool changing =
      std::any_of(Packets.begin(), Packets.end(), carriesMembership<Packet>);
  if (!last || !allUp || changing) {
    return false;
  }
  std::size_t intact = 0;
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    const bool counts = last->isVoter(Nodes[i].Id) && i != node &&
                        !Nodes[i].Instance->repairing() &&
                        Nodes[i].Instance->membership() == *last;
    intact += counts ? 1U : 0U;
  }
  return intact >= last->quorum();
}

std::optional<std::size_t> ReplicaGroup::leader() const {
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    const Replica *replica = Nodes[i].Instance.get();
    if (replica && replica->role() == Role::Leader &&
        (!found || replica->term() > Nodes[*found].Instance->term())) {
      found = i;
    }
  }
  return found;
}

std::string ReplicaGroup::describeNodes() const {
  std::string text;
  for (const Node &it : Nodes) {
    text += it.Id.text().substr(0, 4);
    if (const Replica *replica = it.Instance.get()) {
      text += " " + std::string(nameOf(replica->role())) + " term " +
              std::to_string(replica->term()) + " last " +
              std::to_string(replica->lastIndex()) + " commit " +
              std::to_string(replica->commitIndex()) +
              (replica->repairing() ? " repairing" : "") + " members";
      for (const replication::Member &member : replica->membership().Members) {
        text += " " + member.Id.text().substr(0, 4) +
                (member.Learner ? "(learner)" : "");
      }
    }
    text += "\n";
  }
  return text;
}

void ReplicaGroup::record(std::size_t from, std::size_t to,
                          const protocol::ReplicationMessage &message) {
  if (!RecordTranscript) {
    return;
  }
  protocol::ReplicationMessage shown = message;
  shown.clear_from_high();
  shown.clear_from_low();
  shown.clear_to_low();
  Transcript.push_back(std::to_string(std::chrono::duration_cast<Milliseconds>(
                                          Now.time_since_epoch())
                                          .count()) +
                       " " + std::to_string(from + 1) + ">" +
                       std::to_string(to + 1) + " " + shown.ShortDebugString());
}

} // namespace masticwinch::fuzzing
