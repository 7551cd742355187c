#pragma once

#include "masticwinch/coordination/placement/placer_types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workers {

/// Content of a task's start order that does not come from placement.
struct TaskContent {
  std::string Payload;
  bool Service = false;
};

/// Looks up the content of a job's tasks.
using TaskContentLookup = std::function<TaskContent(const std::string &job)>;

/// Encodes the body of `PUT /v1/lease`; docs/interfaces-workers.md describes
/// it.
std::string leaseBody(const placement::WorkerCall &call,
                      const TaskContentLookup &contentOf);

/// Parses the response to `PUT /v1/lease`; nothing if it is malformed.
std::optional<placement::WorkerAnswer> parseLeaseAnswer(std::string_view body);

/// Whether a refusal implies that the call had no effect. A refusal of a stale
/// sequence number does not, because the same call may have arrived before.
bool refusedWithoutEffect(std::string_view refusalBody);

} // namespace masticwinch::workers
