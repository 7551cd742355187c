#include <catch2/catch.hpp>

#include "tests/coordination/workflow/crashing_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
const TaskKey First{{Job, 0, 0}, 0};

/// The most starts that the platform allows a task that crashes its runners.
constexpr std::uint32_t MaxStarts = 5;

constexpr Milliseconds LongTime{60'000};

CrashTerms anyTerms() {
  CrashTerms terms;
  terms.KeepsId = GENERATE(false, true);
  terms.Silent = GENERATE(false, true);
  // Before and after a silent runner's runs are released.
  terms.DownTime = Milliseconds(GENERATE(1000, 3200, 6000, 12'000));
  return terms;
}

bool isGivenUp(CrashingCell &cell, const std::string &job = Job) {
  return cell.runUntil([&] { return cell.phase(job) == Phase::Failed; },
                       LongTime);
}

} // namespace

TEST_CASE("A task that crashes its runners is given up",
          "[workflow][.known-red]") {
  CrashingCell cell(6, anyTerms());
  cell.Deadly.insert(Job);
  cell.submit(Job);
  CHECK(isGivenUp(cell));
  CHECK(cell.CrashesUnder[First] >= 2);
  CHECK(cell.starts(First) <= MaxStarts);
}
