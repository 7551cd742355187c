#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fuzzing/long_run.hpp"
#include "fuzzing/requests/request_simulation.hpp"

namespace rc {

using masticwinch::fuzzing::Step;
using masticwinch::fuzzing::StepKind;

template <> struct Arbitrary<Step> {
  static Gen<Step> arbitrary() {
    const auto kind = gen::weightedElement<StepKind>({
        {12, StepKind::Send},
        {10, StepKind::SendKeyed},
        {10, StepKind::Resend},
        {3, StepKind::CallerLeaves},
        {60, StepKind::Deliver},
        {4, StepKind::Duplicate},
        {3, StepKind::Drop},
        {20, StepKind::Advance},
        {30, StepKind::Hello},
        {15, StepKind::SendClaims},
        {8, StepKind::UpstreamReceives},
        {10, StepKind::UpstreamAnswers},
        {2, StepKind::UpstreamRefuses},
        {2, StepKind::UpstreamUnreachable},
        {3, StepKind::AnswerBreaks},
        {1, StepKind::UpstreamRestarts},
        {1, StepKind::UpstreamLeaves},
        {2, StepKind::EntryDies},
        {3, StepKind::EntryStarts},
        {2, StepKind::EntryLapses},
        {2, StepKind::EntryYields},
        {2, StepKind::EntryLeaves},
        {1, StepKind::EntryPauses},
        {2, StepKind::OwnerFallsSilent},
        {1, StepKind::PeersCut},
        {1, StepKind::LeaderUnheard},
    });
    return gen::build<Step>(
        gen::set(&Step::Kind, kind),
        gen::set(&Step::A, gen::inRange<std::uint8_t>(0, 255)),
        gen::set(&Step::B, gen::inRange<std::uint8_t>(0, 255)));
  }
};

} // namespace rc

using namespace masticwinch::fuzzing;
using masticwinch::Milliseconds;

namespace {

constexpr int StepsInSession = 400;

std::vector<Step> anySteps() {
  return *rc::gen::resize(StepsInSession,
                          rc::gen::arbitrary<std::vector<Step>>());
}

/// Steps in which entry VMs hold slots for long while owners fall silent, are
/// replaced, join and leave.
std::vector<Step> stepsWithSilentOwners() {
  const auto kind = rc::gen::weightedElement<StepKind>({
      {100, StepKind::Proceed},
      {60, StepKind::Send},
      {2, StepKind::Deliver},
      {1, StepKind::Drop},
      {3, StepKind::Advance},
      {1, StepKind::EntryPauses},
      {3, StepKind::OwnerFallsSilent},
      {4, StepKind::PeersCut},
      {4, StepKind::LeaderUnheard},
      {4, StepKind::EntryYields},
      {1, StepKind::EntryDies},
      {1, StepKind::EntryLapses},
      {4, StepKind::EntryLeaves},
      {6, StepKind::EntryStarts},
  });
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, kind),
      rc::gen::set(&Step::A, rc::gen::inRange<std::uint8_t>(0, 255)),
      rc::gen::set(&Step::B, rc::gen::inRange<std::uint8_t>(0, 255)));
  return *rc::gen::resize(StepsInSession,
                          rc::gen::container<std::vector<Step>>(step));
}

Milliseconds anyDeadline() {
  return *rc::gen::element(Milliseconds(500), Milliseconds(2000),
                           Milliseconds(5000));
}

} // namespace

TEST_CASE("Promises to callers hold over several entry VMs while owners fall "
          "silent",
          "[requests][fuzzing]") {
  CHECK(rc::check([] { runSession(stepsWithSilentOwners(), anyDeadline()); }));
}

TEST_CASE("Promises to callers hold over several entry VMs under faults",
          "[requests][fuzzing]") {
  CHECK(rc::check([] { runSession(anySteps()); }));
}

TEST_CASE("Promises to callers hold in 100,000 sessions",
          "[.long][requests-long]") {
  constexpr int Sessions = 100'000;
  CHECK(holdsInSessions(Sessions, [] { runSession(anySteps()); }));
}
