#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace masticwinch::workflow {

struct OverdueShareOptions {
  /// A step that would complete after more than this multiple of its
  /// workflow's objective, in thousandths, is overdue.
  std::int64_t ObjectivePermille = 3000;
  /// No step is overdue before its work has waited this long: short work that
  /// has missed its objective in a brief surge is behind what still can meet
  /// its own.
  Milliseconds MinWait{10'000};
  /// Share of the processors that a pool's work can use at best, for overdue
  /// steps, in thousandths.
  std::uint64_t SharePermille = 100;
  /// For how long an unused share accumulates.
  Milliseconds MaxUnused{2000};
  /// For how long overdue steps may wait after a step that overdrew the share.
  Milliseconds MaxOverdrawn{8000};
};

/// Keeps a share of each pool for steps that have waited for long, whatever
/// ranks before them. Answers lasting load: work of a later priority and work
/// that is late would otherwise wait as long as anything before it arrives. A
/// token bucket in core-milliseconds; the last step that takes from it may
/// overdraw it. The queues with overdue steps get equal parts of it.
class OverdueShare {
public:
  explicit OverdueShare(OverdueShareOptions options) : Options(options) {}

  /// Whether a step is overdue whose workflow was accepted that long ago and
  /// whose remaining critical path takes `remaining`.
  bool isOverdue(Milliseconds objective, Milliseconds age,
                 Milliseconds remaining) const {
    return age >= Options.MinWait &&
           (age + remaining) * 1000 > objective * Options.ObjectivePermille;
  }

  /// What a task takes from the share, in core-milliseconds. A task whose
  /// duration or processors are not stated takes some as well.
  static std::uint64_t costOf(const protocol::StepSpec &step);

  /// Adds the share of the time since the last call for this pool.
  void accrue(const std::string &pool, std::uint64_t milliProcessors,
              SteadyTime now);

  bool hasLeft(const std::string &pool) const;
  void spend(const std::string &pool, const std::string &queue,
             std::uint64_t coreMs);

  /// Overdue work in core-milliseconds, by queue.
  using Backlogs = std::map<std::string, std::uint64_t>;

  /// Sets the overdue work of a pool's queues.
  void setBacklogs(const std::string &pool, const Backlogs &coreMsByQueue);

  /// What the queue has got, for comparison with others of the pool that have
  /// a backlog; the one that has got least goes first.
  std::uint64_t spentBy(const std::string &pool,
                        const std::string &queue) const;

  /// How long the queue takes to work off its backlog if it gets `perSecond`
  /// core-milliseconds a second, or its part of the share if that is more.
  Milliseconds drainTime(const std::string &pool, const std::string &queue,
                         std::uint64_t perSecond) const;

  /// Overdue work that the pool's share is for in this time, in
  /// core-milliseconds.
  std::uint64_t workWithin(const std::string &pool, Milliseconds time) const;

private:
  struct QueueBacklog {
    std::uint64_t CoreMs = 0;
    std::uint64_t SpentCoreMs = 0;
  };
  struct Pool {
    /// In millionths of a core-millisecond.
    std::int64_t Left = 0;
    std::int64_t LeftPerMs = 0;
    SteadyTime AccruedAt{};
    std::map<std::string, QueueBacklog> Queues;
    /// What the queue that was served last had got before. A queue whose first
    /// step becomes overdue begins there, neither ahead of the others nor
    /// behind.
    std::uint64_t VirtualTime = 0;
  };

  OverdueShareOptions Options;
  std::map<std::string, Pool> Pools;
};

} // namespace masticwinch::workflow
