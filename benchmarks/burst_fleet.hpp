#pragma once

#include "benchmarks/burst_options.hpp"
#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace masticwinch::benchmarks {

/// A run of a task, as its runner and the leader see it.
struct BurstRun {
  std::uint32_t Job = 0;
  std::uint32_t Task = 0;
  std::uint32_t Runner = 0;
  /// When the runner began it; negative before.
  double Begin = -1e9;
  bool HasBegun = false;
  bool HasEnded = false;
  /// It ended by itself, so the task is done.
  bool IsDone = false;
  bool IsConfirmed = false;
  /// The leader has handled its end.
  bool IsReleased = false;
  std::uint32_t StartAttempts = 0;
};

/// A runner, as it is and as the leader sees it.
struct BurstRunner {
  /// Thousandths of a core that the leader has not assigned.
  std::int64_t Free = 0;
  double LastAnswer = 0;
  std::uint32_t Poll = 0;
  bool PollPending = false;
  /// The runner holds this poll until a run ends; 0 if none.
  std::uint32_t HeldPoll = 0;
  /// Runs whose ends the leader has not confirmed.
  std::vector<std::uint32_t> Ended;
};

/// The runners and their free room, as the leader sees them.
class BurstFleet {
public:
  explicit BurstFleet(const BurstOptions &options)
      : MaxAnswerAge(options.Orders.MaxAnswerAge),
        Whole(std::int64_t(options.CoresPerRunner * 1000)),
        Runners(options.Runners) {
    for (BurstRunner &it : Runners) {
      it.Free = Whole;
      it.LastAnswer = -options.WarmUp;
    }
  }

  BurstRunner &at(std::uint32_t id) { return Runners[id]; }
  std::uint32_t size() const { return std::uint32_t(Runners.size()); }

  bool isUsable(const BurstRunner &it, double now) const {
    return now - it.LastAnswer < MaxAnswerAge;
  }

  /// Thousandths of cores of the usable runners, or of all if none is usable.
  std::uint64_t expectedProcessors(double now) const {
    const auto usable =
        std::count_if(Runners.begin(), Runners.end(),
                      [&](const auto &it) { return isUsable(it, now); });
    const std::size_t counted =
        usable > 0 ? std::size_t(usable) : Runners.size();
    return std::uint64_t(Whole) * counted;
  }

  /// Begins a pass of scheduling, in which room only gets less.
  void beginPass() { NoRoomFor = Whole + 1; }

  /// Reserves room on the next runner that has it.
  std::optional<std::uint32_t> reserve(std::int64_t needed, double now) {
    if (needed >= NoRoomFor) {
      return std::nullopt;
    }
    for (std::uint32_t i = 0; i < Runners.size(); ++i) {
      const std::uint32_t id = (Cursor + i) % size();
      if (Runners[id].Free >= needed && isUsable(Runners[id], now)) {
        Runners[id].Free -= needed;
        Cursor = id + 1;
        return id;
      }
    }
    NoRoomFor = needed;
    return std::nullopt;
  }

private:
  double MaxAnswerAge;
  std::int64_t Whole;
  std::vector<BurstRunner> Runners;
  std::uint32_t Cursor = 0;
  /// Thousandths of a core for which no runner has had room in this pass.
  std::int64_t NoRoomFor = 0;
};

} // namespace masticwinch::benchmarks
