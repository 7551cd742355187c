#include "masticwinch/coordination/replication/replica_id.hpp"

#include <fmt/format.h>

#include <charconv>

namespace masticwinch::replication {

namespace {

constexpr std::size_t HalfDigits = 16;

std::optional<std::uint64_t> parseHalf(std::string_view text) {
  std::uint64_t value = 0;
  const char *end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value, 16);
  if (ec != std::errc() || last != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string ReplicaId::text() const {
  return fmt::format("{:016x}{:016x}", High, Low);
}

std::optional<ReplicaId> ReplicaId::parse(std::string_view text) {
  if (text.size() != 2 * HalfDigits) {
    return std::nullopt;
  }
  const auto high = parseHalf(text.substr(0, HalfDigits));
  const auto low = parseHalf(text.substr(HalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return ReplicaId{*high, *low};
}

} // namespace masticwinch::replication
