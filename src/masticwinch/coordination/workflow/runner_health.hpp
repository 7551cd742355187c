#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace masticwinch::workflow {

struct RunnerHealthOptions {
  /// Failures in a row, of different workflows, after which a runner rests.
  std::uint32_t MaxConsecutiveFailures = 2;
  /// First rest; each further one is twice as long.
  Milliseconds InitialQuarantine{2000};
  Milliseconds MaxQuarantine{8000};
  /// At most this share of the runners rests at a time, in thousandths.
  std::uint64_t MaxQuarantinedPermille = 300;
};

/// Takes runners out of use that fail what they start, while the failures of a
/// workflow itself, which follow it from runner to runner, count once for each
/// runner. After its rest a runner gets work again, and one more failure sends
/// it back.
class RunnerHealth {
public:
  explicit RunnerHealth(RunnerHealthOptions options) : Options(options) {}

  /// A run ended on a runner. Returns true if it begins to rest.
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
  /// When the last rest that was begun ends.
  SteadyTime LastQuarantineUntil{};
};

} // namespace masticwinch::workflow
