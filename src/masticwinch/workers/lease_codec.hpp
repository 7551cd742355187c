#pragma once

#include "masticwinch/coordination/placement/placer_types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workers {

/// What a task's start carries besides what placement decides.
struct TaskContent {
  std::string Payload;
  bool Service = false;
};

/// Finds the content of a job's tasks.
using TaskContentLookup = std::function<TaskContent(const std::string &job)>;

/// Body of `PUT /v1/lease`, as docs/interfaces-workers.md describes it.
std::string leaseBody(const placement::WorkerCall &call,
                      const TaskContentLookup &contentOf);

/// Reads the answer to `PUT /v1/lease`; nothing if it is malformed.
std::optional<placement::WorkerAnswer> parseLeaseAnswer(std::string_view body);

/// Whether a refusal means that the call changed nothing. A refusal for a
/// sequence that was seen doesn't: the same call may have arrived before.
bool refusedWithoutEffect(std::string_view refusalBody);

} // namespace masticwinch::workers
