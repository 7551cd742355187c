#pragma once

#include "masticwinch/common/clock.hpp"

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace masticwinch::internal {

/// How much a line may be missed.
enum class LineClass : std::uint8_t {
  /// One of many alike, such as a decision on one task.
  Routine,
  /// Of the process itself, such as its start or a lost dependency.
  Process,
};

/// Writes lines to standard output without ever waiting for it. Lines beyond a
/// rate, and those that the reader is too slow for, are dropped; the next line
/// that fits is followed by one that states how many. Routine lines leave a
/// part of the rate to the others.
class BoundedOutputSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  BoundedOutputSink(std::size_t linesPerSecond, const Clock &clock);

  /// Whether the next line may be written; counts it as dropped if not. Asked
  /// before the line is made, so that a dropped one costs next to nothing.
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
