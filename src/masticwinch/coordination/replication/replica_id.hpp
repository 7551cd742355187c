#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::replication {

/// Identity of a replica's data folder, generated at random when the folder is
/// created. A folder that was wiped and recreated is a different replica.
struct ReplicaId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const ReplicaId &) const = default;

  /// Returns the text form: 32 hexadecimal digits.
  std::string text() const;

  /// Parses the text form; returns nothing if it is malformed.
  static std::optional<ReplicaId> parse(std::string_view text);
};

} // namespace masticwinch::replication
