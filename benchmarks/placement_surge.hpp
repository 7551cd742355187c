#pragma once

#include "benchmarks/placement_fleet.hpp"
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch::bench {

/// A job of a surge with its arrival time and the true run time of each of its
/// tasks.
struct SurgeJob {
  placement::JobTerms Terms;
  Milliseconds At{0};
  Milliseconds RunTime{0};
};

/// A load surge: jobs and the number of VMs that they arrive at.
struct Surge {
  std::string_view Name;
  std::size_t Vms = 0;
  std::vector<SurgeJob> Jobs;
};

/// Results of a surge under one policy.
struct SurgeResult {
  std::map<std::string, std::vector<double>> WaitMs;
  double MakespanMs = 0;
  double LowerBoundMs = 0;
  /// Share of reserved processors, averaged over the time in which jobs waited.
  double Packing = 0;
  std::uint64_t Preemptions = 0;
  double ControlMs = 0;
};

inline constexpr placement::Resources VmCapacity{32'000, 131'072, 0};

inline SurgeJob surgeJob(std::string id, std::string_view profile,
                         std::uint32_t tasks, placement::Resources perTask,
                         Milliseconds at, Milliseconds runTime) {
  SurgeJob job;
  job.Terms.Id = std::move(id);
  job.Terms.Profile = std::string(profile);
  job.Terms.Tasks = tasks;
  job.Terms.PerTask = perTask;
  job.Terms.ExpectedRunTime = runTime;
  job.At = at;
  job.RunTime = runTime;
  return job;
}

/// Price sheets of many sizes that are due at dawn, with urgent lookups
/// throughout.
inline Surge mondaySheets(std::uint64_t seed) {
  Surge surge{"monday", 50, {}};
  std::mt19937_64 random(seed);
  const auto pick = [&](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  };
  for (int it = 0; it < 600; ++it) {
    SurgeJob job = surgeJob(fmt::format("sheet-{}", it), "sheet",
                            static_cast<std::uint32_t>(pick(1, 12)),
                            {1'000 * pick(1, 8), 2'048 * pick(1, 12), 0},
                            Milliseconds(pick(0, 60'000)),
                            Milliseconds(pick(20'000, 180'000)));
    // Declared run times are off by up to a factor of two.
    job.Terms.ExpectedRunTime = job.RunTime * pick(50, 200) / 100;
    job.Terms.Team = fmt::format("coop-{}", it % 40);
    job.Terms.Preemptible = job.Terms.Checkpoint = pick(0, 3) > 0;
    surge.Jobs.push_back(std::move(job));
  }
  for (int it = 0; it < 300; ++it) {
    SurgeJob job = surgeJob(fmt::format("lookup-{}", it), "lookup", 1,
                            {1'000, 512, 0}, Milliseconds(pick(0, 300'000)),
                            Milliseconds(pick(500, 3'000)));
    job.Terms.Team = "quotes";
    job.Terms.InTier = placement::Tier::Urgent;
    surge.Jobs.push_back(std::move(job));
  }
  return surge;
}

/// Audio renders overnight, with rebuilds that run as gangs.
inline Surge nightlyRenders(std::uint64_t seed) {
  Surge surge{"nightly", 50, {}};
  std::mt19937_64 random(seed);
  const auto pick = [&](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  };
  for (int it = 0; it < 500; ++it) {
    SurgeJob job = surgeJob(fmt::format("render-{}", it), "render",
                            static_cast<std::uint32_t>(pick(1, 16)),
                            {1'000 * pick(1, 4), 1'024 * pick(1, 8), 0},
                            Milliseconds(pick(0, 240'000)),
                            Milliseconds(pick(10'000, 90'000)));
    job.Terms.Team = fmt::format("shop-{}", it % 60);
    job.Terms.Preemptible = job.Terms.Checkpoint = true;
    surge.Jobs.push_back(std::move(job));
  }
  for (int it = 0; it < 12; ++it) {
    SurgeJob job = surgeJob(fmt::format("rebuild-{}", it), "rebuild",
                            static_cast<std::uint32_t>(pick(20, 45)),
                            {24'000, 65'536, 0}, Milliseconds(pick(0, 240'000)),
                            Milliseconds(pick(20'000, 60'000)));
    job.Terms.Team = fmt::format("region-{}", it % 4);
    job.Terms.Kind = placement::JobKind::Gang;
    surge.Jobs.push_back(std::move(job));
  }
  for (int it = 0; it < 100; ++it) {
    SurgeJob job = surgeJob(fmt::format("lookup-{}", it), "lookup", 1,
                            {1'000, 512, 0}, Milliseconds(pick(0, 240'000)),
                            Milliseconds(pick(500, 2'000)));
    job.Terms.Team = "gates";
    job.Terms.InTier = placement::Tier::Urgent;
    surge.Jobs.push_back(std::move(job));
  }
  std::sort(surge.Jobs.begin(), surge.Jobs.end(),
            [](const SurgeJob &a, const SurgeJob &b) { return a.At < b.At; });
  return surge;
}

/// Lower bound on the makespan of any placement: for each job, its arrival plus
/// run time; for each arrival, the work that arrives from then on, spread over
/// all VMs.
inline double lowerBoundMs(const Surge &surge) {
  double bound = 0;
  for (const SurgeJob &from : surge.Jobs) {
    double processors = 0;
    double memory = 0;
    for (const SurgeJob &it : surge.Jobs) {
      if (it.At >= from.At) {
        const double time = double(it.RunTime.count()) * it.Terms.Tasks;
        processors += time * double(it.Terms.PerTask.MilliProcessors);
        memory += time * double(it.Terms.PerTask.MemoryMib);
      }
    }
    const double vms = double(surge.Vms);
    const double work =
        std::max(processors / (vms * double(VmCapacity.MilliProcessors)),
                 memory / (vms * double(VmCapacity.MemoryMib)));
    bound = std::max({bound, double(from.At.count()) + work,
                      double((from.At + from.RunTime).count())});
  }
  return bound;
}

/// Runs a surge under one policy, in steps of simulated time.
class SurgeRun {
public:
  SurgeRun(const Surge &surge, placement::PolicyName policy)
      : Load(surge), Policy(policy), Leader(settings(policy), 1, Start),
        Vms(Leader, [this](const placement::AttemptId &id) {
          return RunTimes.at(id.Job);
        }) {
    for (SurgeJob &it : Load.Jobs) {
      RunTimes[it.Terms.Id] = it.RunTime;
    }
    std::sort(Load.Jobs.begin(), Load.Jobs.end(),
              [](const SurgeJob &a, const SurgeJob &b) { return a.At < b.At; });
  }

  SurgeResult run() {
    constexpr Milliseconds Tick{50};
    Vms.announce(Load.Vms, VmCapacity, Now);
    settle();
    while (Ended < Load.Jobs.size() && Now - Start < std::chrono::hours(4)) {
      Now += Tick;
      submitDue();
      Vms.advance(Now);
      settle();
      samplePacking();
    }
    Result.MakespanMs = millis(Now - Start);
    Result.LowerBoundMs = lowerBoundMs(Load);
    Result.Packing = Samples == 0 ? 1 : PackingSum / double(Samples);
    return std::move(Result);
  }

private:
  static constexpr SteadyTime Start{std::chrono::hours(1)};

  static placement::PlacerSettings settings(placement::PolicyName policy) {
    placement::PlacerSettings settings;
    settings.Policy = policy;
    return settings;
  }

  static double millis(SteadyTime::duration time) {
    return double(std::chrono::duration_cast<std::chrono::microseconds>(time)
                      .count()) /
           1000;
  }

  void submitDue() {
    while (Next < Load.Jobs.size() && Start + Load.Jobs[Next].At <= Now) {
      SurgeJob &job = Load.Jobs[Next++];
      job.Terms.Policy = Policy;
      job.Terms.SubmittedUnixMs = job.At.count();
      SubmittedAt[job.Terms.Id] = {Now, job.Terms.Profile};
      timed([&] { Leader.addJob(job.Terms, {}, false, Now); });
    }
  }

  template <class Function> void timed(Function function) {
    const auto before = std::chrono::steady_clock::now();
    function();
    Result.ControlMs += millis(std::chrono::steady_clock::now() - before);
  }

  void settle() {
    for (int round = 0; round < 8; ++round) {
      placement::StepEffects effects;
      timed([&] { effects = Leader.step(Now); });
      note(effects);
      if (!effects.Records.empty()) {
        timed([&] { Leader.recorded(effects.Records.Id, Now); });
      }
      for (const placement::WorkerCall &it : effects.Calls) {
        timed([&] { Vms.answer(it, Now); });
      }
      if (effects.Calls.empty() && effects.Records.empty()) {
        return;
      }
    }
  }

  void note(const placement::StepEffects &effects) {
    for (const placement::PlacementNotice &it : effects.Notices) {
      if (it.Kind == placement::PlacementEvent::TaskPlaced) {
        const auto &[at, profile] = SubmittedAt.at(it.Job);
        if (FirstPlaced.insert(it.Job + "/" + std::to_string(it.Task)).second) {
          Result.WaitMs[profile].push_back(millis(Now - at));
        }
      }
      const bool stops = it.Kind == placement::PlacementEvent::TaskStopping;
      Result.Preemptions += stops ? 1 : 0;
      Ended += it.Kind == placement::PlacementEvent::JobEnded ? 1 : 0;
    }
  }

  void samplePacking() {
    if (Leader.waitingJobs() > 0) {
      ++Samples;
      PackingSum += double(Leader.totalReserved().MilliProcessors) /
                    double(Leader.totalCapacity().MilliProcessors);
    }
  }

  Surge Load;
  placement::PolicyName Policy;
  SteadyTime Now = Start;
  placement::Placer Leader;
  Fleet Vms;
  SurgeResult Result;
  std::map<std::string, Milliseconds> RunTimes;
  std::map<std::string, std::pair<SteadyTime, std::string>> SubmittedAt;
  std::set<std::string> FirstPlaced;
  std::size_t Next = 0;
  std::size_t Ended = 0;
  std::size_t Samples = 0;
  double PackingSum = 0;
};

} // namespace masticwinch::bench
