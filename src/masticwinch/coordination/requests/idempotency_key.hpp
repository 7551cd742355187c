#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace masticwinch {

/// Maximum length of an idempotency key in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

/// Returns the creation time of a key in milliseconds of Unix time if the key
/// contains it: the key is a version 7 UUID, or starts with thirteen digits and
/// a hyphen.
std::optional<std::uint64_t> keyCreationTime(std::string_view key);

/// Hash of the request that a key was first used for; detects reuse of the key
/// for another request.
std::uint64_t requestBodyHash(std::string_view method, std::string_view path,
                              std::string_view body);

} // namespace masticwinch
