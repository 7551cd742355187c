#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace masticwinch {

/// How a stand-in runner treats a request.
struct Behavior {
  /// Time from the request to its answer.
  Milliseconds Delay{0};
  /// Status of the answer.
  std::uint16_t Status = 200;
  /// Least length of the answer's body in bytes.
  std::size_t AnswerBytes = 0;
  /// Never answers.
  bool Hang = false;
  /// Cuts the answer off half way.
  bool Truncate = false;
  /// Answers 503 and says that the request was not run.
  bool Refuse = false;
  /// Answers 429 with a time to come back and says that the request was not
  /// run.
  bool Busy = false;
};

/// Header that chooses the behaviour for one request.
inline constexpr std::string_view BehaviorHeader = "Stand-In-Behavior";

/// Applies a comma-separated list of `delay=MS`, `fail=STATUS`, `size=BYTES`,
/// `hang`, `truncate`, `refuse` and `busy` to a behaviour; nothing if the text
/// has another word or a number out of range.
std::optional<Behavior> applyBehavior(Behavior behavior, std::string_view text);

} // namespace masticwinch
