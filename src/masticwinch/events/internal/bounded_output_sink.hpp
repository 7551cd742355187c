#pragma once

#include "masticwinch/common/clock.hpp"

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace masticwinch::internal {

/// Priority of a line when the rate limit is reached.
enum class LineClass : std::uint8_t {
  /// Frequent event, such as a decision on one task.
  Routine,
  /// Event of the process itself, such as its start or a lost dependency, and
  /// regular reports.
  Process,
};

/// Writes lines to standard output without blocking. Lines above the rate limit
/// and lines that can't be written because the reader is too slow are dropped;
/// the next line that is written is followed by one with the number of dropped
/// lines. A part of the rate is reserved for lines that are not routine.
class BoundedOutputSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  BoundedOutputSink(std::size_t linesPerSecond, const Clock &clock);

  /// Whether the next line may be written; if not, counts it as dropped. Called
  /// before the line is formatted, so that a dropped line costs little.
  bool admit(LineClass lineClass);

  std::uint64_t dropped() const { return Dropped; }

protected:
  // The names are spdlog's.
  // NOLINTBEGIN(readability-identifier-naming)
  void sink_it_(const spdlog::details::log_msg &message) override;
  void flush_() override {}
  // NOLINTEND(readability-identifier-naming)

private:
  bool write(const char *data, std::size_t bytes);

  const std::size_t LinesPerSecond;
  const Clock &Time;
  std::mutex RateMutex;
  SteadyTime WindowStart{};
  std::size_t LinesInWindow = 0;
  std::atomic<std::uint64_t> Unreported = 0;
  std::atomic<std::uint64_t> Dropped = 0;
};

} // namespace masticwinch::internal
