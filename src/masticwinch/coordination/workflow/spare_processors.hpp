#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace masticwinch::workflow {

/// Thousandths of a core that the steps with which a workflow begins need
/// together.
std::uint64_t firstProcessors(const protocol::WorkflowSpec &spec);

/// Processors of each pool that are left after all waiting work, whatever its
/// priority, in thousandths of a core. A submission that needs no more than
/// these is expected to start at once. Counted anew in each scheduling pass;
/// submissions count from when they are accepted. State machine without I/O.
class SpareProcessors {
public:
  /// Share of a pool's processors that isn't counted, in thousandths: tasks of
  /// different sizes leave gaps that no other task fits into.
  static constexpr std::uint64_t GapsPermille = 50;

  /// Begins a count, with the submissions that are being stored.
  void beginCount();

  /// Counts a waiting step of the pool.
  void addWaiting(const std::string &pool, std::uint64_t milliProcessors);

  /// Discounts tasks of a counted step that have been assigned.
  void removeStarted(const std::string &pool, std::uint64_t milliProcessors);

  /// States what is free on the pool's usable runners after the pass, and how
  /// much they have.
  void setFree(const std::string &pool, std::uint64_t freeMilliProcessors,
               std::uint64_t capacity);

  /// Counts an accepted submission until it is stored and counted by its steps.
  void letIn(const protocol::WorkflowSpec &spec, const std::string &pool);
  void stored(const std::string &id) { BeingStored.erase(id); }

  /// Returns 0 for a pool without usable runners.
  std::uint64_t spareOf(const std::string &pool) const;

private:
  struct Pool {
    std::uint64_t Free = 0;
    std::uint64_t Waiting = 0;
  };
  struct Submission {
    std::string Pool;
    std::uint64_t MilliProcessors = 0;
  };

  std::map<std::string, Pool> Pools;
  std::map<std::string, Submission> BeingStored;
};

} // namespace masticwinch::workflow
