#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace masticwinch {

/// Longest idempotency key that is accepted, in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

/// When the key was made, in milliseconds of Unix time, if the key tells: it is
/// a version 7 UUID, or starts with thirteen digits and a hyphen.
std::optional<std::uint64_t> keyCreationTime(std::string_view key);

/// Hash that binds a key to the request that it was first used for.
std::uint64_t requestBodyHash(std::string_view method, std::string_view path,
                              std::string_view body);

} // namespace masticwinch
