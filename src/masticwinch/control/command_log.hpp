#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace masticwinch::control {

/// Position of a record in the log.
struct LogPosition {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;

  auto operator<=>(const LogPosition &) const = default;
};

/// Receives committed records in order.
using AppliedHandler =
    std::function<void(LogPosition position, const std::string &record)>;

/// Command log as used by the control service. `propose` returns the position
/// that the record will have if it commits, or nothing if this process is not
/// the leader.
template <class Log>
concept CommandLog = requires(Log log, const Log constLog,
                              const std::string &record) {
  { log.propose(record) } -> std::same_as<std::optional<LogPosition>>;
  { constLog.isLeader() } -> std::same_as<bool>;
  { constLog.leaderAddress() } -> std::same_as<std::string>;
};

} // namespace masticwinch::control
