#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace masticwinch {

/// How a stand-in runner handles a request.
struct Behavior {
  /// Delay before the answer is sent.
  Milliseconds Delay{0};
  /// HTTP status of the answer.
  std::uint16_t Status = 200;
  /// Minimum length of the answer's body in bytes.
  std::size_t AnswerBytes = 0;
  /// Never answers.
  bool Hang = false;
  /// Truncates the answer half way.
  bool Truncate = false;
  /// Answers 503 with the header that states that the request was not run.
  bool Refuse = false;
  /// Answers 429 with `Retry-After` and the header that states that the request
  /// was not run.
  bool Busy = false;
};

/// Request header that overrides the configured behaviour.
inline constexpr std::string_view BehaviorHeader = "Stand-In-Behavior";

/// Applies a comma-separated list of `delay=MS`, `fail=STATUS`, `size=BYTES`,
/// `hang`, `truncate`, `refuse` and `busy` to a behaviour. Returns nullopt if
/// an item is unknown or a number is out of range.
std::optional<Behavior> applyBehavior(Behavior behavior, std::string_view text);

} // namespace masticwinch
