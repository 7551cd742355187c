#include "masticwinch/coordination/cell/spec_validation.hpp"

#include <algorithm>

namespace masticwinch::cell {

namespace {

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

std::optional<FieldError> checkRange(const std::string &field,
                                     std::int64_t value, std::int64_t min,
                                     std::int64_t max) {
  if (value >= min && value <= max) {
    return std::nullopt;
  }
  return FieldError{field, "must be from " + std::to_string(min) + " to " +
                               std::to_string(max)};
}

std::optional<FieldError>
checkRequestPolicy(const protocol::RequestPolicy &policy) {
  const struct {
    const char *Field;
    std::uint32_t Value;
    std::uint32_t Max;
  } limits[] = {
      {"requests.weight", policy.weight(), MaxWeight},
      {"requests.concurrency", policy.concurrency(), 1'000'000},
      {"requests.rate_per_second", policy.rate_per_second(), 1'000'000},
      {"requests.queue_length", policy.queue_length(), 1'000'000},
      {"requests.queue_time_ms", policy.queue_time_ms(), MaxDurationMs},
      {"requests.deadline_ms", policy.deadline_ms(), MaxDurationMs},
      {"requests.max_attempts", policy.max_attempts(), MaxAttempts},
      {"requests.hedge_after_ms", policy.hedge_after_ms(), MaxDurationMs},
  };
  for (const auto &it : limits) {
    if (auto problem = checkRange(it.Field, it.Value, 0, it.Max)) {
      return problem;
    }
  }
  if (!policy.repeatable() && policy.hedge_after_ms() != 0) {
    return FieldError{"requests.hedge_after_ms",
                      "must be 0 unless requests are repeatable"};
  }
  return std::nullopt;
}

std::optional<FieldError> checkTaskPolicy(const protocol::TaskPolicy &tasks) {
  if (auto problem = checkResources("tasks.resources", tasks.resources())) {
    return problem;
  }
  if (auto problem =
          checkRange("tasks.priority", tasks.priority(), -1000, 1000)) {
    return problem;
  }
  if (tasks.expected_run_time_ms() > MaxRunTimeMs) {
    return FieldError{"tasks.expected_run_time_ms",
                      "must be at most " + std::to_string(MaxRunTimeMs)};
  }
  if (tasks.deadline_ms() > MaxRunTimeMs) {
    return FieldError{"tasks.deadline_ms",
                      "must be at most " + std::to_string(MaxRunTimeMs)};
  }
  return std::nullopt;
}

} // namespace

std::optional<FieldError> checkName(std::string_view field,
                                    std::string_view name) {
  const bool valid = !name.empty() && name.size() <= MaxNameLength &&
                     std::all_of(name.begin(), name.end(), isNameCharacter);
  if (valid) {
    return std::nullopt;
  }
  return FieldError{std::string(field),
                    "must be 1 to 128 letters, digits, '.', '-' or '_'"};
}

std::optional<FieldError> checkResources(std::string_view field,
                                         const protocol::Resources &amounts) {
  const std::string prefix(field);
  if (auto problem =
          checkRange(prefix + ".milli_processors", amounts.milli_processors(),
                     1, MaxMilliProcessors)) {
    return problem;
  }
  if (auto problem = checkRange(prefix + ".memory_mib", amounts.memory_mib(), 1,
                                MaxMemoryMib)) {
    return problem;
  }
  return checkRange(prefix + ".accelerators", amounts.accelerators(), 0,
                    MaxAccelerators);
}

std::optional<FieldError> checkProfile(const protocol::ProfileSpec &spec) {
  if (!spec.team().empty()) {
    if (auto problem = checkName("team", spec.team())) {
      return problem;
    }
  }
  if (auto problem = checkRequestPolicy(spec.requests())) {
    return problem;
  }
  return spec.has_tasks() ? checkTaskPolicy(spec.tasks()) : std::nullopt;
}

std::optional<FieldError> checkJob(const protocol::JobSpec &spec,
                                   const protocol::TaskPolicy &policy) {
  if (!spec.name().empty()) {
    if (auto problem = checkName("name", spec.name())) {
      return problem;
    }
  }
  if (spec.payload().size() > MaxPayloadBytes) {
    return FieldError{"payload", "must be at most " +
                                     std::to_string(MaxPayloadBytes) +
                                     " bytes"};
  }
  if (policy.kind() == protocol::JOB_KIND_UNSPECIFIED) {
    return FieldError{"kind", "must be SERVICE, BATCH or GANG"};
  }
  const std::uint32_t maxTasks =
      policy.kind() == protocol::GANG ? MaxTasksPerGang : MaxTasksPerJob;
  if (auto problem = checkRange("tasks", spec.tasks(), 1, maxTasks)) {
    return problem;
  }
  return checkTaskPolicy(policy);
}

} // namespace masticwinch::cell
