#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workflow {

/// The queue that a host and a path address, and what follows its prefix.
struct QueueRoute {
  const protocol::QueueConfig *Queue = nullptr;
  std::string Suffix;
};

/// Finds the queue of the host with the longest prefix of the path.
std::optional<QueueRoute> findRoute(const protocol::CellConfig &config,
                                    std::string_view host,
                                    std::string_view path);

const protocol::QueueConfig *findQueue(const protocol::CellConfig &config,
                                       const std::string &name);
const protocol::PoolConfig *findPool(const protocol::CellConfig &config,
                                     const std::string &name);

/// Why a configuration can't be used; nothing if it can.
std::optional<std::string> validationError(const protocol::CellConfig &config);

/// Why a submission can't be used; nothing if it can.
std::optional<std::string> validationError(const protocol::WorkflowSpec &spec);

} // namespace masticwinch::workflow
