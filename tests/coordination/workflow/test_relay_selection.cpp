#include "masticwinch/coordination/workflow/relay_selection.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};
constexpr std::uint32_t SmallLink = 2'000;
constexpr std::uint32_t LargeLink = 1'000'000;
constexpr int RunnerCount = 350;

std::string runner(int i) { return "i-" + std::to_string(i); }

/// Entry VMs whose links have `entryKbps`, and control VMs that don't lead.
RelaySelection cellOf(std::uint32_t entryKbps, SteadyTime now = Start,
                      RelaySelectionOptions options = {}) {
  RelaySelection selection(options);
  for (int i = 0; i < 29; ++i) {
    selection.offered("entry-" + std::to_string(i), RelayRole::EntryVm,
                      entryKbps, now);
  }
  for (int i = 0; i < 4; ++i) {
    selection.offered("control-" + std::to_string(i), RelayRole::ControlVm,
                      LargeLink, now);
  }
  return selection;
}

/// Start orders by relay, one for each runner.
std::map<std::string, int> startsBy(RelaySelection &selection,
                                    SteadyTime now = Start) {
  std::map<std::string, int> starts;
  for (int i = 0; i < RunnerCount; ++i) {
    const std::string *relay = selection.relayForStart(runner(i), now);
    ++starts[relay ? *relay : "none"];
  }
  return starts;
}

bool anyAtControlVm(const std::map<std::string, int> &starts) {
  const auto it = starts.lower_bound("control-");
  return it != starts.end() && it->first.starts_with("control-");
}

} // namespace

// Guards against start orders that wait on entry VMs' links beside callers'
// requests until their runners count as unresponsive.
TEST_CASE("Start orders avoid entry VMs with small links", "[workflow]") {
  RelaySelection selection = cellOf(SmallLink);
  const std::map<std::string, int> starts = startsBy(selection);
  CHECK(starts.size() == 4);
  for (const auto &[relay, count] : starts) {
    CHECK(relay.starts_with("control-"));
    CHECK(count > RunnerCount / 8);
  }
  for (int i = 0; i < RunnerCount; ++i) {
    CHECK(selection.relayFor(runner(i), Start)->starts_with("entry-"));
  }
}

// Guards against control VMs that relay although the entry VMs can, or although
// nobody knows whether they can.
TEST_CASE("Control VMs relay nothing for entry VMs with large or unknown links",
          "[workflow]") {
  RelaySelection large = cellOf(LargeLink);
  CHECK_FALSE(anyAtControlVm(startsBy(large)));
  RelaySelection unknown = cellOf(SmallLink);
  unknown.offered("entry-3", RelayRole::EntryVm, 0, Start);
  CHECK_FALSE(anyAtControlVm(startsBy(unknown)));
}

// Guards against a control VM that relays so much that it can't lead in time.
TEST_CASE("A control VM relays a bounded number of starts a second",
          "[workflow]") {
  RelaySelection selection = cellOf(SmallLink, Start, {.StartsPerSecond = 20});
  std::map<std::string, int> starts = startsBy(selection);
  for (int i = 0; i < 4; ++i) {
    CHECK(starts["control-" + std::to_string(i)] == 20);
  }
  CHECK(starts.size() > 4);
  selection.offered("control-0", RelayRole::ControlVm, LargeLink,
                    Start + std::chrono::seconds(1));
  starts = startsBy(selection, Start + std::chrono::seconds(1));
  CHECK(starts["control-0"] == 20);
}

// Guards against starts that go on to a control VM that was lost or cut off.
TEST_CASE("A control VM that is silent or answers no starts is passed over",
          "[workflow]") {
  RelaySelection selection = cellOf(SmallLink);
  const SteadyTime later = Start + Milliseconds(400);
  for (const std::string it : {"control-0", "control-1", "control-2"}) {
    selection.offered(it, RelayRole::ControlVm, LargeLink, later);
  }
  const SteadyTime now = Start + Milliseconds(800);
  CHECK_FALSE(startsBy(selection, now).contains("control-3"));
  for (int i = 0; i < 3; ++i) {
    selection.startEnded("control-1", false);
  }
  CHECK_FALSE(startsBy(selection, now).contains("control-1"));
  selection.offered("control-1", RelayRole::ControlVm, LargeLink, now);
  CHECK(startsBy(selection, now).contains("control-1"));

  // With all control VMs silent, the entry VMs take over.
  const SteadyTime end = now + Milliseconds(800);
  for (int i = 0; i < 29; ++i) {
    selection.offered("entry-" + std::to_string(i), RelayRole::EntryVm,
                      SmallLink, end);
  }
  const std::map<std::string, int> starts = startsBy(selection, end);
  CHECK_FALSE(anyAtControlVm(starts));
  CHECK_FALSE(starts.contains("none"));
}

// Guards against orders to entry VMs that have stopped.
TEST_CASE("Entry VMs that offer nothing any more get no orders", "[workflow]") {
  RelaySelection selection = cellOf(SmallLink);
  const SteadyTime now = Start + Milliseconds(1600);
  selection.offered("entry-7", RelayRole::EntryVm, SmallLink, now);
  CHECK(*selection.relayFor("i-1", now) == "entry-7");
  CHECK(selection.relayFor("i-1", now + Milliseconds(1600)) == nullptr);
}

// Guards against connections that all former relays of a runner leave open.
TEST_CASE("A relay that comes or goes changes only its own runners' relay",
          "[workflow]") {
  RelaySelection selection = cellOf(LargeLink);
  std::map<std::string, std::string> before;
  for (int i = 0; i < RunnerCount; ++i) {
    before[runner(i)] = *selection.relayFor(runner(i), Start);
  }
  selection.offered("entry-new", RelayRole::EntryVm, LargeLink, Start);
  int moved = 0;
  for (const auto &[id, relay] : before) {
    const std::string &now = *selection.relayFor(id, Start);
    CHECK((now == relay || now == "entry-new"));
    moved += now == relay ? 0 : 1;
  }
  CHECK(moved > 0);
  CHECK(moved < RunnerCount / 10);
}
