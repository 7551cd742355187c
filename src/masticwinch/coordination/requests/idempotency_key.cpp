#include "masticwinch/coordination/requests/idempotency_key.hpp"

#include <xxhash.h>

#include <charconv>
#include <string>

namespace masticwinch {
namespace {

constexpr std::size_t MillisDigits = 13;
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionIndex = 14;

std::optional<std::uint64_t> parseInteger(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char *end = text.data() + text.size();
  const auto [parsedEnd, ec] = std::from_chars(text.data(), end, value, base);
  if (ec != std::errc() || parsedEnd != end) {
    return std::nullopt;
  }
  return value;
}

bool isUuidVersion7(std::string_view key) {
  return key.size() == UuidLength && key[8] == '-' && key[13] == '-' &&
         key[UuidVersionIndex] == '7' && key[18] == '-' && key[23] == '-';
}

} // namespace

std::optional<std::uint64_t> keyCreationTime(std::string_view key) {
  if (isUuidVersion7(key)) {
    const std::string digits =
        std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    return parseInteger(digits, 16);
  }
  if (key.size() > MillisDigits && key[MillisDigits] == '-') {
    return parseInteger(key.substr(0, MillisDigits), 10);
  }
  return std::nullopt;
}

std::uint64_t requestBodyHash(std::string_view method, std::string_view path,
                              std::string_view body) {
  std::uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
  return XXH3_64bits_withSeed(body.data(), body.size(), hash);
}

} // namespace masticwinch
