#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::cell {

/// A validation error: the field and the reason.
struct FieldError {
  std::string Field;
  std::string Reason;
};

inline constexpr std::size_t MaxNameLength = 128;
inline constexpr std::uint32_t MaxTasksPerJob = 100'000;
inline constexpr std::uint32_t MaxTasksPerGang = 10'000;
inline constexpr std::uint32_t MaxDurationMs = 24 * 60 * 60 * 1000;
inline constexpr std::uint32_t MaxWeight = 10'000;
inline constexpr std::uint32_t MaxAttempts = 10;
inline constexpr std::int64_t MaxMilliProcessors = 10'000'000;
inline constexpr std::int64_t MaxMemoryMib = 100'000'000;
inline constexpr std::int64_t MaxAccelerators = 10'000;
inline constexpr std::size_t MaxPayloadBytes = 64 * 1024;
/// Maximum run time that a service or batch task may declare.
inline constexpr std::uint64_t MaxRunTimeMs = 366ULL * 24 * 60 * 60 * 1000;

/// Checks a name: 1 to 128 letters, digits, dots, hyphens and underscores.
std::optional<FieldError> checkName(std::string_view field,
                                    std::string_view name);

/// Checks the resources of a task: processors and memory must be positive,
/// accelerators not negative, and all within the maximums.
std::optional<FieldError> checkResources(std::string_view field,
                                         const protocol::Resources &amounts);

/// Checks a profile before it is accepted.
std::optional<FieldError> checkProfile(const protocol::ProfileSpec &spec);

/// Checks the fields of a job together with the policy that it will run under.
std::optional<FieldError> checkJob(const protocol::JobSpec &spec,
                                   const protocol::TaskPolicy &policy);

} // namespace masticwinch::cell
