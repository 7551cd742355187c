#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"
#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

/// Runs of step 0 of the workflows "w0" to "w3"; "w0" belongs to no account,
/// the others to "a1" to "a3".
RunTerms termsOf(const StepKey &key) {
  const auto number = std::int64_t(key.Workflow.back() - '0');
  return {{1000 * (number + 1), 512, number % 2},
          number == 0 ? std::string() : "a" + std::to_string(number)};
}

/// A session of random inputs, some of which do not fit the state of the
/// registry, as those of former lives and lost orders.
class Session {
public:
  explicit Session(unsigned seed) : Random(seed) {}

  void step() {
    Now += Milliseconds(pick(300));
    const std::string id = runnerId();
    switch (pick(13)) {
    case 0: {
      protocol::RunnerInfo info = runnerOf(id);
      Births[id] += pick(2);
      info.set_born_unix_ms(Births[id]);
      info.set_draining(pick(8) == 0);
      info.mutable_capacity()->set_milli_processors(
          std::uint32_t(8000 * (1 + pick(4))));
      Registry.add(info, Now);
      break;
    }
    case 1:
    case 2:
    case 3:
      reserve(id);
      break;
    case 4:
      Registry.start(id, anyRun(id), Now);
      break;
    case 5:
      Registry.stop(id, anyRun(id), Now);
      break;
    case 6:
      answerStart();
      break;
    case 7:
      answerStop();
      break;
    case 8:
    case 9:
      answerPoll();
      break;
    case 10:
      inherit(id);
      break;
    case 11:
      removeSomehow(id);
      break;
    default:
      Registry.tick(Now);
      break;
    }
    collect();
  }

  /// The sums counted anew from the runs of all runners.
  std::map<std::string, ResourceAmounts> recount() const {
    std::map<std::string, ResourceAmounts> sums;
    for (const auto &[id, runner] : Registry.runners()) {
      for (const auto &[run, it] : runner.Runs) {
        sums[it.Account] += it.Needs;
      }
    }
    return sums;
  }

  RunnerRegistry Registry{{}, termsOf};

private:
  std::size_t pick(std::size_t count) { return Random() % count; }
  std::string runnerId() { return "r" + std::to_string(pick(4)); }

  RunKey newRun() {
    const std::string workflow = "w" + std::to_string(pick(4));
    return {{{workflow, 0, 0}, std::uint32_t(pick(6))}, ++LastRun};
  }

  RunKey anyRun(const std::string &id) {
    const RunnerEntry *runner = Registry.find(id);
    if (!runner || runner->Runs.empty()) {
      return newRun();
    }
    auto it = runner->Runs.begin();
    std::advance(it, std::ptrdiff_t(pick(runner->Runs.size())));
    return it->first;
  }

  void reserve(const std::string &id) {
    const RunnerEntry *runner = Registry.find(id);
    if (!runner || runner->Gone) {
      return;
    }
    const RunKey run = newRun();
    const RunTerms terms = termsOf(run.Task.Step);
    TrackedRun tracked;
    tracked.Needs = terms.Needs;
    tracked.Account = terms.Account;
    Registry.reserve(id, run, tracked, Now);
  }

  void inherit(const std::string &id) {
    const RunKey run = pick(4) == 0 ? anyRun(id) : newRun();
    Registry.inherit(id, run, termsOf(run.Task.Step));
  }

  OrderAnswer anyAnswer() {
    return pick(2) == 0 ? OrderAnswer::Done
                        : static_cast<OrderAnswer>(
                              pick(EnumNames<OrderAnswer>::Table.size()));
  }

  void answerStart() {
    if (!Starts.empty()) {
      const StartOrder order = take(Starts);
      Registry.startAnswered(order, anyAnswer(), Now);
    }
  }

  void answerStop() {
    if (!Stops.empty()) {
      const StopOrder order = take(Stops);
      Registry.stopAnswered(order, anyAnswer(), Now);
    }
  }

  void answerPoll() {
    if (Polls.empty()) {
      return;
    }
    const PollOrder order = take(Polls);
    PollAnswer answer;
    answer.Answer = pick(8) == 0 ? anyAnswer() : OrderAnswer::Done;
    answer.BornUnixMs = order.BornUnixMs + (pick(12) == 0 ? 1 : 0);
    Births[order.Runner] = std::max(Births[order.Runner], answer.BornUnixMs);
    answer.ClockMs = std::int64_t(Now.time_since_epoch() / Milliseconds(1));
    if (const RunnerEntry *runner = Registry.find(order.Runner)) {
      for (const auto &[run, it] : runner->Runs) {
        const std::size_t choice = pick(4);
        if (choice < 2) {
          answer.Running.push_back({run, "saved"});
        } else if (choice == 2) {
          answer.Ended.push_back({++LastEnd, run, protocol::RUN_DONE, "saved"});
        }
      }
    }
    if (pick(4) == 0) {
      answer.Running.push_back({newRun(), ""});
    }
    Registry.pollAnswered(order, answer, Now);
  }

  void removeSomehow(const std::string &id) {
    switch (pick(6)) {
    case 0:
      return Registry.remove(id);
    case 1:
      return Registry.forget(id);
    default:
      return Registry.leave(id, Now);
    }
  }

  template <class Order> Order take(std::vector<Order> &from) {
    const auto it = from.begin() + std::ptrdiff_t(pick(from.size()));
    Order order = *it;
    from.erase(it);
    return order;
  }

  void collect() {
    RunnerRegistryEffects effects = Registry.takeEffects();
    std::move(effects.Starts.begin(), effects.Starts.end(),
              std::back_inserter(Starts));
    std::move(effects.Stops.begin(), effects.Stops.end(),
              std::back_inserter(Stops));
    std::move(effects.Polls.begin(), effects.Polls.end(),
              std::back_inserter(Polls));
  }

  std::mt19937 Random;
  SteadyTime Now{std::chrono::seconds(100)};
  std::uint32_t LastRun = 0;
  std::uint64_t LastEnd = 0;
  std::map<std::string, std::uint64_t> Births;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PollOrder> Polls;
};

} // namespace

// Guards against a sum that misses a change of the tracked runs: too low it
// lets an account exceed its limit, too high it keeps the account from running.
TEST_CASE("The use of each account equals a recount after each step of a "
          "random session",
          "[workflow]") {
  std::size_t inUse = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Session session(seed);
    for (int i = 0; i < 2000; ++i) {
      session.step();
      auto sums = session.recount();
      for (const std::string name : {"a1", "a2", "a3", "unknown"}) {
        const ResourceAmounts used = session.Registry.usedBy(name);
        if (!(used == sums[name])) {
          FAIL("step " << i << " of seed " << seed << ": " << name << " uses "
                       << used.MilliProcessors << " instead of "
                       << sums[name].MilliProcessors);
        }
        inUse += used.MilliProcessors > 0 ? 1 : 0;
      }
      if (session.Registry.usedBy("").MilliProcessors != 0) {
        FAIL("runs without an account are summed");
      }
    }
  }
  CHECK(inUse > 10'000);
}
