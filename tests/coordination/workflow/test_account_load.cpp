#include <catch2/catch.hpp>

#include "benchmarks/workflow_model.hpp"
#include <algorithm>
#include <numeric>

using namespace masticwinch;
using namespace masticwinch::benchmarks;

namespace {

/// Callers of one account that submit again as soon as their last workflow has
/// ended. Their work stays on time, so that only the accounts tell who goes
/// first.
ModelQueue callersOf(const std::string &account, double weight,
                     std::size_t callers) {
  ModelQueue queue;
  queue.Name = account;
  queue.Account = account;
  queue.Weight = weight;
  queue.Callers = callers;
  queue.Tasks = 2;
  queue.Seconds = 0.4;
  queue.TargetMs = 600'000;
  return queue;
}

/// 64 cores, which are enough for capacity to become free all the time.
constexpr double Cores = 64;

ModelOptions smallCell(std::vector<ModelQueue> queues) {
  ModelOptions options;
  options.Runners = 4;
  options.CoresPerRunner = Cores / 4;
  options.Seconds = 40;
  options.Queues = std::move(queues);
  return options;
}

/// Work that was completed while work arrived, in core-seconds.
double servedWork(const WorkflowModel &model, const std::string &queue) {
  return double(model.outcomes().at(queue).WorkInTime) / 1000;
}

double longestStartMs(const WorkflowModel &model, const std::string &queue) {
  const std::vector<double> &times = model.outcomes().at(queue).StartMs;
  return times.empty() ? 0 : *std::max_element(times.begin(), times.end());
}

double meanStartMs(const WorkflowModel &model, const std::string &queue) {
  const std::vector<double> &times = model.outcomes().at(queue).StartMs;
  return std::accumulate(times.begin(), times.end(), 0.0) /
         double(std::max<std::size_t>(times.size(), 1));
}

} // namespace

// Guards against capacity that is divided by the number of an account's
// submissions instead of its weight.
TEST_CASE("Two accounts that want more than the pool share it by weight",
          "[workflow][account-load]") {
  WorkflowModel model(
      smallCell({callersOf("large", 3, 160), callersOf("small", 1, 320)}));
  model.run();
  const double large = servedWork(model, "large");
  const double small = servedWork(model, "small");
  CAPTURE(large, small, model.busyShare());
  CHECK(large / (large + small) == Approx(0.75).margin(0.05));
  CHECK(model.busyShare() > 0.9);
}

// Guards against an account whose few submissions wait behind the backlog of
// another.
TEST_CASE("An account with little demand is served as if the large one beside "
          "it weren't there",
          "[workflow][account-load]") {
  WorkflowModel alone(smallCell({callersOf("little", 1, 2)}));
  alone.run();
  WorkflowModel beside(
      smallCell({callersOf("little", 1, 2), callersOf("large", 1, 480)}));
  beside.run();
  const double workAlone = servedWork(alone, "little");
  const double workBeside = servedWork(beside, "little");
  CAPTURE(workAlone, workBeside, meanStartMs(alone, "little"),
          meanStartMs(beside, "little"), longestStartMs(beside, "little"));
  CHECK(workBeside >= 0.8 * workAlone);
  CHECK(meanStartMs(beside, "little") <= meanStartMs(alone, "little") + 100);
}

// Guards against capacity that is kept for an account without demand.
TEST_CASE("What an account does not use goes to the others at once",
          "[workflow][account-load]") {
  WorkflowModel one(smallCell({callersOf("busy", 1, 240)}));
  one.run();
  ModelQueue idle = callersOf("idle", 9, 0);
  idle.PerSecond = 0.1;
  WorkflowModel both(smallCell({callersOf("busy", 1, 240), idle}));
  both.run();
  const double before = servedWork(one, "busy");
  const double after = servedWork(both, "busy") + servedWork(both, "idle");
  CAPTURE(before, after, both.busyShare());
  CHECK(after >= 0.97 * before);
}

// Guards against an account that waits for a peak it had after a quiet time.
TEST_CASE("A short peak after a quiet time is served at once",
          "[workflow][account-load]") {
  ModelQueue peak = callersOf("peak", 1, 0);
  peak.PerSecond = 0.5;
  peak.BurstFactor = 60;
  peak.BurstBegin = 20;
  peak.BurstEnd = 22;
  WorkflowModel model(smallCell({callersOf("steady", 1, 240), peak}));
  model.run();
  CAPTURE(longestStartMs(model, "peak"), meanStartMs(model, "peak"),
          meanStartMs(model, "steady"));
  CHECK(longestStartMs(model, "peak") <= 1500);
}

// Guards against accounts whose work never starts while others' work goes on
// arriving.
TEST_CASE("No account starves beside larger ones", "[workflow][account-load]") {
  std::vector<ModelQueue> queues;
  const std::size_t callers[] = {400, 240, 120, 60, 40, 20, 10, 5};
  for (std::size_t i = 0; i < std::size(callers); ++i) {
    queues.push_back(callersOf("account-" + std::to_string(i),
                               i % 2 == 0 ? 1 : 2, callers[i]));
  }
  WorkflowModel model(smallCell(queues));
  model.run();
  for (const ModelQueue &it : queues) {
    const double fair = Cores * 40 * it.Weight / 12;
    CAPTURE(it.Name, it.Callers, servedWork(model, it.Name), fair,
            longestStartMs(model, it.Name));
    const std::size_t served = model.outcomes().at(it.Name).StartMs.size();
    // Served from first to last: at least once every two seconds.
    CHECK(served >= 20);
    if (it.Callers >= 60) {
      CHECK(servedWork(model, it.Name) >= 0.8 * fair);
    }
  }
}

// Guards against an account that holds the memory of a pool and counts as a
// small one by its processors.
TEST_CASE("An account that needs memory and one that needs processors get "
          "equal dominant shares",
          "[workflow][account-load]") {
  ModelQueue memory = callersOf("memory", 1, 240);
  memory.MemoryMb = 4000;
  memory.Cores = 0.5;
  ModelQueue processors = callersOf("processors", 1, 240);
  processors.MemoryMb = 500;
  ModelOptions options = smallCell({memory, processors});
  options.MemoryMbPerRunner = 32'000;
  WorkflowModel model(options);
  model.run();
  // Each task of "memory" takes half a core on average, and 4 GB of 128; each
  // of "processors" a core of 64.
  const double memoryShare = servedWork(model, "memory") / 0.5 * 4 / 128;
  const double processorShare = servedWork(model, "processors") / Cores;
  CAPTURE(memoryShare, processorShare, model.busyShare());
  CHECK(memoryShare / (memoryShare + processorShare) ==
        Approx(0.5).margin(0.06));
}
