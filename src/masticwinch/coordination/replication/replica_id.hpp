#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::replication {

/// Identity of a replica's data folder, drawn at random when the folder is
/// made. A folder that was wiped and made anew is another replica.
struct ReplicaId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const ReplicaId &) const = default;

  /// Text form, 32 hexadecimal digits.
  std::string text() const;

  /// Reads the text form.
  static std::optional<ReplicaId> parse(std::string_view text);
};

} // namespace masticwinch::replication
