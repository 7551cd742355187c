#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace masticwinch::workflow {

struct RunnerHealthOptions {
  /// Consecutive failures, of different workflows, after which a runner is
  /// quarantined.
  std::uint32_t MaxConsecutiveFailures = 2;
  /// Length of the first quarantine; it doubles each time.
  Milliseconds InitialQuarantine{2000};
  Milliseconds MaxQuarantine{8000};
  /// Maximum share of the runners in quarantine at the same time, in
  /// thousandths.
  std::uint64_t MaxQuarantinedPermille = 300;
};

/// Quarantines runners whose runs fail. Consecutive failures of the same
/// workflow count once for each runner, since a workflow that is itself at
/// fault fails on one runner after another. After its quarantine a runner gets
/// work again; one more failure quarantines it again.
class RunnerHealth {
public:
  explicit RunnerHealth(RunnerHealthOptions options) : Options(options) {}

  /// Handles that a run ended on a runner. Returns true if this puts the runner
  /// in quarantine.
  bool runEnded(const std::string &runner, const std::string &workflow,
                protocol::RunEnd how, std::size_t runnerCount, SteadyTime now);

  bool isQuarantined(const std::string &runner, SteadyTime now) const;

  void forget(const std::string &runner) { Records.erase(runner); }

private:
  struct Record {
    std::uint32_t ConsecutiveFailures = 0;
    std::string LastWorkflow;
    SteadyTime QuarantinedUntil{};
    Milliseconds NextQuarantine{0};
  };

  std::size_t quarantinedCount(SteadyTime now) const;

  RunnerHealthOptions Options;
  std::unordered_map<std::string, Record> Records;
  /// Latest end of any quarantine.
  SteadyTime LastQuarantineUntil{};
};

} // namespace masticwinch::workflow
