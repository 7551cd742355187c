#include "masticwinch/coordination/workflow/account_shares.hpp"

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "tests/coordination/workflow/workflow_records.hpp"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

constexpr std::size_t AccountCount = 2000;
constexpr std::size_t RunnerCount = 350;
constexpr std::size_t WaitingPerAccount = 2;
constexpr int Passes = 1000;

/// Processor time of this thread in milliseconds, which doesn't depend on what
/// else the machine does.
double processorMilliseconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return double(now.tv_sec) * 1000 + double(now.tv_nsec) / 1e6;
}

void printFigures(const std::string &name, std::vector<double> times) {
  std::sort(times.begin(), times.end());
  const auto at = [&](double share) {
    return times[std::min(times.size() - 1,
                          std::size_t(share * double(times.size())))];
  };
  std::printf("figure=%s_p50 value=%.3f unit=ms\n", name.c_str(), at(0.5));
  std::printf("figure=%s_p99 value=%.3f unit=ms\n", name.c_str(), at(0.99));
}

std::string accountName(std::size_t i) {
  return "account-" + std::to_string(i);
}

/// Shares alone: all accounts use something and have demand.
void measureShares() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < AccountCount; ++i) {
    names.push_back(accountName(i));
  }
  AccountShares shares;
  PoolUse use{{32'000 * RunnerCount, 131'072 * RunnerCount, 0}, {}};
  std::vector<AccountDemand> demand;
  for (std::size_t i = 0; i < AccountCount; ++i) {
    use.ByAccount[names[i]] = {std::int64_t(i * 5), std::int64_t(i * 9), 0};
    demand.push_back({{}, names[i], 1000 + i});
  }
  std::vector<double> times;
  SteadyTime now{std::chrono::seconds(100)};
  for (int pass = 0; pass < Passes; ++pass) {
    now += Milliseconds(20);
    const double begin = processorMilliseconds();
    shares.observe("pool", use, now);
    shares.setDemand("pool", demand);
    times.push_back(processorMilliseconds() - begin);
  }
  printFigures("account_shares", std::move(times));
}

/// A full cell whose accounts all have work that waits.
WorkflowState fullCell(bool accounts) {
  WorkflowState state;
  protocol::WorkflowChange configured;
  protocol::CellConfig &config = *configured.mutable_configure();
  config = tests::configOf(1);
  config.mutable_queues(0)->set_latency_target_ms(3'600'000);
  config.set_accounts_declared(accounts);
  for (std::size_t i = 0; accounts && i < AccountCount; ++i) {
    protocol::ClientAccount *account = config.add_accounts();
    account->set_name(accountName(i));
    account->add_keys("key-" + std::to_string(i));
    account->set_weight_permille(1000 + i);
  }
  state.apply(configured);
  for (std::size_t i = 0; i < RunnerCount; ++i) {
    protocol::WorkflowChange change;
    *change.mutable_runner()->mutable_runner() =
        tests::runnerOf("i-" + std::to_string(i));
    state.apply(change);
  }
  std::size_t next = 0;
  const auto accept = [&](std::uint32_t tasks) {
    const std::string id = "w-" + std::to_string(next);
    protocol::WorkflowChange change =
        tests::acceptOf(tests::specOf(id, {tests::stepOf(tasks)}));
    if (accounts) {
      change.mutable_accept()->set_account(accountName(next % AccountCount));
    }
    change.mutable_accept()->set_at_unix_ms(100'000);
    state.apply(change);
    ++next;
    return id;
  };
  for (std::size_t i = 0; i < RunnerCount; ++i) {
    for (std::uint32_t part = 0; part < 8; ++part) {
      const std::string id = accept(4);
      for (std::uint32_t task = 0; task < 4; ++task) {
        state.apply(
            tests::assignOf({{id, 0, 0}, task}, 1, "i-" + std::to_string(i)));
      }
    }
  }
  for (std::size_t i = 0; i < AccountCount * WaitingPerAccount; ++i) {
    accept(3);
  }
  return state;
}

/// Whole passes, with and without accounts.
void measurePasses(bool accounts) {
  const WorkflowState state = fullCell(accounts);
  Moment at{SteadyTime{std::chrono::seconds(100)}, 100'000};
  WorkflowLeaderOptions options;
  // The runs of the benchmark have no runners that answer, so their leases
  // must not expire.
  options.Runners.LongestLease = std::chrono::hours(1);
  options.Runners.MaxAnswerAge = std::chrono::hours(1);
  WorkflowLeader leader(options, state, at);
  std::vector<PollOrder> polls = leader.takeEffects(at).Polls;
  std::vector<double> times;
  for (int pass = 0; pass < Passes; ++pass) {
    at.Now += Milliseconds(30);
    at.UnixMs += 30;
    leader.tick(at);
    const double begin = processorMilliseconds();
    WorkflowEffects effects = leader.takeEffects(at);
    times.push_back(processorMilliseconds() - begin);
    for (const PollOrder &it : effects.Polls) {
      PollAnswer answer;
      answer.Answer = OrderAnswer::Done;
      answer.ClockMs = std::int64_t(at.UnixMs);
      for (const auto &[run, trackedRun] :
           leader.runners().find(it.Runner)->Runs) {
        answer.Running.push_back({run, ""});
      }
      leader.pollAnswered(it, answer, at);
    }
  }
  std::size_t runs = 0;
  for (const auto &[id, runner] : leader.runners().runners()) {
    runs += runner.Runs.size();
  }
  std::printf("figure=runs value=%zu unit=runs\n", runs);
  std::printf("figure=steps_open value=%zu unit=steps\n",
              leader.openStepCount());
  printFigures(accounts ? "pass_with_accounts" : "pass_without_accounts",
               std::move(times));
}

} // namespace

/// Measures the time of a scheduling pass with 2,000 accounts and 350 runners
/// that are all in use.
int main() {
  measureShares();
  measurePasses(false);
  measurePasses(true);
  return 0;
}
