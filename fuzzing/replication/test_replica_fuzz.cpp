#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fuzzing/replication/replica_group.hpp"
#include <algorithm>
#include <ostream>

namespace masticwinch::fuzzing {

namespace {

enum class StepKind {
  Run,
  Propose,
  Read,
  BlockOneWay,
  Isolate,
  HealNetwork,
  Crash,
  Restart,
  Pause,
  Resume,
  Wipe,
  FlipBit,
  Transfer,
  Remove,
  Compact,
  Loss,
};

/// One input of a fuzzing session; the numbers select nodes and amounts.
struct Step {
  StepKind Kind = StepKind::Run;
  unsigned A = 0;
  unsigned B = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step) {
  return out << static_cast<int>(step.Kind) << "(" << step.A << "," << step.B
             << ")";
}

rc::Gen<Step> anyStep() {
  const auto kind =
      rc::gen::weightedElement<StepKind>({{12, StepKind::Run},
                                          {12, StepKind::Propose},
                                          {4, StepKind::Read},
                                          {2, StepKind::BlockOneWay},
                                          {2, StepKind::Isolate},
                                          {3, StepKind::HealNetwork},
                                          {2, StepKind::Crash},
                                          {3, StepKind::Restart},
                                          {2, StepKind::Pause},
                                          {3, StepKind::Resume},
                                          {1, StepKind::Wipe},
                                          {1, StepKind::FlipBit},
                                          {2, StepKind::Transfer},
                                          {1, StepKind::Remove},
                                          {3, StepKind::Compact},
                                          {2, StepKind::Loss}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, kind),
      rc::gen::set(&Step::A, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::B, rc::gen::inRange(0U, 1000U)));
}

replication::ReplicaOptions smallOptions() {
  replication::ReplicaOptions options;
  options.RetainedEntries = 3;
  options.SnapshotChunkBytes = 16;
  options.MaxEntriesInFlight = 8;
  options.MaxMessageBytes = 24;
  return options;
}

void isolate(ReplicaGroup &group, std::size_t node) {
  for (std::size_t i = 0; i < group.size(); ++i) {
    group.network().BlockedLinks.insert({node, i});
    group.network().BlockedLinks.insert({i, node});
  }
}

/// Runs one step. Steps that would permanently cost the cell its quorum are
/// replaced by a crash or restart, since the session ends by requiring a
/// leader.
void applyStep(ReplicaGroup &group, const Step &step, std::size_t number) {
  const std::size_t node = step.A % group.size();
  const std::size_t other = step.B % group.size();
  switch (step.Kind) {
  case StepKind::Run:
    return group.run(Milliseconds(step.A % 4 == 0 ? 5 * step.B : step.B / 4));
  case StepKind::Propose:
    group.propose(group.leader().value_or(node), "c" + std::to_string(number));
    group.propose(node, "d" + std::to_string(number));
    return;
  case StepKind::Read:
    return group.read(step.B % 2 ? node : group.leader().value_or(node));
  case StepKind::BlockOneWay:
    group.network().BlockedLinks.insert({node, other});
    return;
  case StepKind::Isolate:
    return isolate(group, step.B % 2 ? node : group.leader().value_or(node));
  case StepKind::HealNetwork:
    group.network() = {};
    return;
  case StepKind::Crash:
    return group.crash(node);
  case StepKind::Restart:
    return group.restart(node);
  case StepKind::Pause:
    return group.pause(step.B % 2 ? node : group.leader().value_or(node));
  case StepKind::Resume:
    return group.resume(node);
  case StepKind::Wipe:
    return group.canLoseNode(node) ? group.wipe(node) : group.crash(node);
  case StepKind::FlipBit:
    return group.canLoseNode(node) ? group.flipBit(node, step.B)
                                   : group.crash(node);
  case StepKind::Transfer:
    return group.transfer(group.leader().value_or(node));
  case StepKind::Remove:
    return !group.canLoseNode(other)
               ? group.restart(other)
               : group.removeMember(group.leader().value_or(node), other);
  case StepKind::Compact:
    return group.compact(node);
  case StepKind::Loss:
    group.network().LossPermille = step.A / 3;
    group.network().DuplicatePermille = step.B / 3;
    group.network().MaxDelay = Milliseconds(1 + step.B / 4);
    return;
  }
}

/// Once all faults are removed, the group must accept a command and agree.
void checkRecovery(ReplicaGroup &group) {
  group.healAll();
  group.run(Milliseconds(20000));
  const auto leader = group.leader();
  if (!leader) {
    RC_FAIL(group.describeNodes());
  }
  RC_ASSERT(group.propose(*leader, "last"));
  group.run(Milliseconds(3000));
  const std::string &state = group.applied(*leader);
  RC_ASSERT(state.ends_with("last\n"));
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (group.applied(i) != state) {
      RC_FAIL("not caught up: " + group.describeNodes());
    }
  }
}

void fuzz(std::size_t count, double lengthFactor) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto session = *rc::gen::scale(
      lengthFactor, rc::gen::container<std::vector<Step>>(anyStep()));
  ReplicaGroup group(count, seed, smallOptions());
  group.run(Milliseconds(3000));
  try {
    std::size_t number = 0;
    for (const Step &it : session) {
      applyStep(group, it, ++number);
    }
    checkRecovery(group);
  } catch (const Violation &violation) {
    RC_FAIL(violation.Text);
  }
}

} // namespace

TEST_CASE("Three replicas keep every accepted command", "[replication][fuzz]") {
  REQUIRE(rc::check([] { fuzz(3, 1); }));
}

TEST_CASE("Five replicas keep every accepted command", "[replication][fuzz]") {
  REQUIRE(rc::check([] { fuzz(5, 1); }));
}

TEST_CASE("Replicas keep every accepted command over long sessions",
          "[.long][replication][fuzz]") {
  REQUIRE(rc::check([] { fuzz(3, 8); }));
  REQUIRE(rc::check([] { fuzz(5, 8); }));
}

} // namespace masticwinch::fuzzing
