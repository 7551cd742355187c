#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

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

/// Why a record was not taken.
enum class ProposalRefusal : std::uint8_t {
  /// Not at this moment, such as while this process doesn't lead or its disk is
  /// full. The same record may be taken later.
  NotNow,
  /// The record is larger than any that the log stores. It is never taken.
  TooLarge,
};

/// The position that a record will have if it commits, or why it was refused.
using ProposalResult = std::variant<LogPosition, ProposalRefusal>;

/// Returns null if the record was refused.
constexpr const LogPosition *positionOf(const ProposalResult &result) {
  return std::get_if<LogPosition>(&result);
}

constexpr bool isTooLarge(const ProposalResult &result) {
  const ProposalRefusal *refusal = std::get_if<ProposalRefusal>(&result);
  return refusal && *refusal == ProposalRefusal::TooLarge;
}

/// Command log as used by the control service.
template <class Log>
concept CommandLog = requires(Log log, const Log constLog,
                              const std::string &record) {
  { log.propose(record) } -> std::same_as<ProposalResult>;
  { constLog.isLeader() } -> std::same_as<bool>;
  { constLog.leaderAddress() } -> std::same_as<std::string>;
};

} // namespace masticwinch::control
