#pragma once

#include <string_view>

namespace masticwinch::internal {

/// The parts of a request target, as sent.
struct RequestTarget {
  /// The authority of a target in absolute form; empty in origin form.
  std::string_view Authority;
  std::string_view Path;
  /// Without the question mark.
  std::string_view Query;
};

/// Splits a target in origin form (`/path?query`) or in absolute form
/// (`http://host:port/path?query`).
RequestTarget splitTarget(std::string_view target);

} // namespace masticwinch::internal
