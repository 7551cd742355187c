#include "benchmarks/burst_model.hpp"
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::benchmarks;

namespace {

/// First come, first served, without admission.
BurstPolicy firstCome() {
  BurstPolicy policy{"first_come"};
  policy.Admits = false;
  policy.Ranking = workflow::RankingPolicy::FirstComeFirstServed;
  return policy;
}

/// Admission, ranking and the one queue of the landed code.
BurstPolicy landed() { return BurstPolicy{"landed"}; }

/// The landed policy with answers of runners ahead of calls, and admission by
/// all waiting work and by age since `age`.
BurstPolicy countedAge(std::string name, AgeBegin age) {
  BurstPolicy policy{std::move(name)};
  policy.RunnersFirst = true;
  policy.CountsAllWork = true;
  policy.Age = age;
  return policy;
}

/// All work and calls bounded by age.
BurstPolicy boundedAge() {
  BurstPolicy policy = countedAge("bounded_age", AgeBegin::FirstSent);
  policy.DropsPastDue = true;
  policy.RefusesOldCalls = true;
  policy.NewestCallFirst = true;
  policy.NewestWorkFirst = true;
  return policy;
}

void print(const std::string &figure, double value, const char *unit) {
  std::printf("figure=%s value=%.4g unit=%s\n", figure.c_str(), value, unit);
}

/// Options to run the model with, and how their figures begin.
struct Case {
  std::string Head;
  BurstOptions Options;
};

void printOutcome(const Case &it, const BurstOutcome &all, int seeds) {
  const BurstOptions &options = it.Options;
  const std::string &head = it.Head;
  const double room = seeds * double(options.Runners) * options.CoresPerRunner;
  const double begin = options.BurstBegin;
  const double end = options.BurstEnd;
  print(head + ".goodput_before", rateBefore(all.Goodput, options) / room,
        "share");
  print(head + ".goodput_during",
        meanRate(all.Goodput, options, begin, end) / room, "share");
  print(head + ".goodput_last_10s",
        meanRate(all.Goodput, options, options.End - 10, options.End) / room,
        "share");
  print(head + ".recovery", recoverySeconds(all.Goodput, options, false), "s");
  print(head + ".recovery_for_good",
        recoverySeconds(all.Goodput, options, true), "s");
  print(head + ".recovery_of_jobs_on_time",
        recoverySeconds(all.JobsOnTime, options, true), "s");
  print(head + ".thrown_away", all.ThrownAway / seeds, "core_s");
  print(head + ".refused", double(all.Refused) / seeds, "calls");
  print(head + ".timed_out", double(all.TimedOut) / seeds, "calls");
  print(head + ".runs_stopped", double(all.StoppedRuns) / seeds, "runs");
  print(head + ".largest_queue", double(all.LargestQueue), "messages");
  print(head + ".largest_waiting", double(all.LargestWaiting), "steps");
  print(head + ".leader_before", all.LeaderBusyBefore / seeds / BeforeSeconds,
        "cores");
  print(head + ".leader_last_8s", all.LeaderBusyAfter / seeds / BeforeSeconds,
        "cores");
}

/// Runs cases with seeds 1 to `seeds`, a few at a time.
class CaseRunner {
public:
  CaseRunner(std::vector<Case> cases, int seeds)
      : Cases(std::move(cases)), Seeds(seeds), Outcomes(Cases.size()) {}

  void runAndPrint() {
    {
      std::vector<std::jthread> threads;
      for (int i = 0; i < Threads; ++i) {
        threads.emplace_back([this] { work(); });
      }
    }
    for (std::size_t i = 0; i < Cases.size(); ++i) {
      printOutcome(Cases[i], Outcomes[i], Seeds);
    }
  }

private:
  static constexpr int Threads = 3;

  void work() {
    for (std::size_t i = Next++; i < Cases.size(); i = Next++) {
      for (int seed = 1; seed <= Seeds; ++seed) {
        BurstOptions options = Cases[i].Options;
        options.Seed = std::uint64_t(seed);
        Outcomes[i] += std::make_unique<BurstModel>(options)->run();
      }
    }
  }

  std::vector<Case> Cases;
  int Seeds;
  std::vector<BurstOutcome> Outcomes;
  std::atomic<std::size_t> Next{0};
};

/// A speed of the leader to compare.
struct Speed {
  std::string Name;
  double MessageMicroseconds;
};

/// A change to the options that shows what a part of them does.
struct Change {
  std::string Name;
  std::function<void(BurstOptions &)> Apply;
};

/// Switches off what may keep a cell with the landed policy down.
std::vector<Change> causes() {
  const auto withoutCallersAgain = [](BurstOptions &it) {
    it.Calls.Resends = false;
    it.Calls.Returns = 0;
  };
  const auto withoutAnyResends = [=](BurstOptions &it) {
    withoutCallersAgain(it);
    it.Calls.ResendAfter = it.Calls.AnswerTimeout;
  };
  const auto withoutPassCosts = [](BurstOptions &it) {
    it.Costs.Pass = 0;
    it.Costs.PassPerWaiting = 0;
    it.Costs.PassPerTried = 0;
  };
  const auto withoutLeaderCosts = [=](BurstOptions &it) {
    withoutPassCosts(it);
    it.Costs.Message = 0;
    it.Costs.Refusal = 0;
  };
  const auto withoutStatusCalls = [](BurstOptions &it) {
    it.Calls.StatusInterval = it.End;
  };
  return {
      {"without_caller_resends",
       [](BurstOptions &it) { it.Calls.Resends = false; }},
      {"without_caller_returns",
       [](BurstOptions &it) { it.Calls.Returns = 0; }},
      {"without_entry_resends",
       [](BurstOptions &it) { it.Calls.ResendAfter = it.Calls.AnswerTimeout; }},
      {"without_callers_again", withoutCallersAgain},
      {"without_any_resends", withoutAnyResends},
      {"without_status_calls", withoutStatusCalls},
      {"without_any_resends_nor_status_calls",
       [=](BurstOptions &it) {
         withoutAnyResends(it);
         withoutStatusCalls(it);
       }},
      {"without_past_work",
       [](BurstOptions &it) { it.Policy.KnowsGoneCallers = true; }},
      {"without_pass_costs", withoutPassCosts},
      {"without_leader_costs", withoutLeaderCosts},
      {"with_40_steps_a_pass",
       [](BurstOptions &it) { it.Orders.StepsPerPass = 40; }},
      {"without_answers_behind_calls",
       [](BurstOptions &it) { it.Policy.RunnersFirst = true; }},
      {"without_answers_behind_calls_nor_past_work",
       [](BurstOptions &it) {
         it.Policy.RunnersFirst = true;
         it.Policy.KnowsGoneCallers = true;
       }},
      {"without_answers_behind_calls_nor_any_resends",
       [=](BurstOptions &it) {
         withoutAnyResends(it);
         it.Policy.RunnersFirst = true;
       }},
      {"without_answers_behind_calls_nor_any_resends_nor_status_calls",
       [=](BurstOptions &it) {
         withoutAnyResends(it);
         withoutStatusCalls(it);
         it.Policy.RunnersFirst = true;
       }},
      {"without_answers_behind_calls_nor_pass_costs",
       [=](BurstOptions &it) {
         withoutPassCosts(it);
         it.Policy.RunnersFirst = true;
       }},
      {"until_120s", [](BurstOptions &it) { it.End = 120; }},
      {"until_120s_without_any_resends_nor_status_calls",
       [=](BurstOptions &it) {
         it.End = 120;
         withoutAnyResends(it);
         withoutStatusCalls(it);
       }},
      {"until_120s_without_any_resends",
       [=](BurstOptions &it) {
         it.End = 120;
         withoutAnyResends(it);
       }},
      {"until_120s_without_answers_behind_calls_nor_any_resends",
       [=](BurstOptions &it) {
         it.End = 120;
         it.Policy.RunnersFirst = true;
         withoutAnyResends(it);
       }},
      {"until_120s_without_leader_costs",
       [=](BurstOptions &it) {
         it.End = 120;
         withoutLeaderCosts(it);
       }},
      {"until_120s_without_pass_costs",
       [=](BurstOptions &it) {
         it.End = 120;
         withoutPassCosts(it);
       }},
      {"until_120s_without_answers_behind_calls",
       [](BurstOptions &it) {
         it.Policy.RunnersFirst = true;
         it.End = 120;
       }},
  };
}

/// Takes parts out of the policy that bounds age.
std::vector<Change> parts() {
  return {
      {"without_dropping",
       [](BurstOptions &it) { it.Policy.DropsPastDue = false; }},
      {"without_runners_first",
       [](BurstOptions &it) { it.Policy.RunnersFirst = false; }},
      {"without_refusing_old_calls",
       [](BurstOptions &it) { it.Policy.RefusesOldCalls = false; }},
      {"without_newest_call_first",
       [](BurstOptions &it) { it.Policy.NewestCallFirst = false; }},
      {"without_newest_work_first",
       [](BurstOptions &it) { it.Policy.NewestWorkFirst = false; }},
      {"without_counting_all_work",
       [](BurstOptions &it) { it.Policy.CountsAllWork = false; }},
      {"with_age_since_call",
       [](BurstOptions &it) { it.Policy.Age = AgeBegin::Call; }},
      {"with_age_since_acceptance",
       [](BurstOptions &it) { it.Policy.Age = AgeBegin::Acceptance; }},
      {"until_120s", [](BurstOptions &it) { it.End = 120; }},
  };
}

void addChanges(std::vector<Case> &cases, const BurstPolicy &policy,
                const std::vector<Change> &changes) {
  for (const Change &it : changes) {
    for (const int factor : {3, 6}) {
      BurstOptions options;
      options.Policy = policy;
      options.BurstFactor = factor;
      it.Apply(options);
      cases.push_back({"calm_day." + policy.Name + "_" + it.Name + ".x" +
                           std::to_string(factor),
                       options});
    }
  }
}

void addPolicies(std::vector<Case> &cases, const Speed &speed,
                 const std::vector<BurstPolicy> &policies) {
  for (const BurstPolicy &policy : policies) {
    for (const int factor : {2, 3, 6, 10}) {
      BurstOptions options;
      options.Policy = policy;
      options.Costs.Message = speed.MessageMicroseconds;
      options.BurstFactor = factor;
      cases.push_back(
          {speed.Name + "." + policy.Name + ".x" + std::to_string(factor),
           options});
    }
  }
}

} // namespace

/// Replays bursts over 350 runners. Arguments and their defaults: what to
/// compare (policies), and number of seeds (2). `policies` compares policies at
/// two speeds of the leader; `causes` takes from the landed policy each cause
/// that may keep the cell down, and from the policy that bounds age each of its
/// parts.
int main(int argc, char **argv) {
  const std::string what = argc > 1 ? argv[1] : "policies";
  const int seeds = argc > 2 ? std::atoi(argv[2]) : 2;
  std::vector<Case> cases;
  if (what == "policies") {
    addPolicies(
        cases, {"calm_day", LeaderCosts().Message},
        {firstCome(), landed(), countedAge("age_since_call", AgeBegin::Call),
         countedAge("age_since_first", AgeBegin::FirstSent), boundedAge()});
    addPolicies(cases, {"relayed", LeaderCosts::RelayedCall / 2},
                {firstCome(), landed(), boundedAge()});
  } else if (what == "causes") {
    addChanges(cases, landed(), causes());
    addChanges(cases, boundedAge(), parts());
  } else {
    std::fprintf(stderr, "usage: bench-overload [policies|causes] [SEEDS]\n");
    return 2;
  }
  CaseRunner(std::move(cases), seeds).runAndPrint();
  return 0;
}
