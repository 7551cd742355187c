#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workflow {

/// The queue that a host and path address, and the rest of the path after the
/// queue's prefix.
struct QueueRoute {
  const protocol::QueueConfig *Queue = nullptr;
  std::string Suffix;
};

/// The form in which host names are compared: in lower case, since case has no
/// meaning in them, and without the final dot of a fully qualified name.
std::string canonicalHost(std::string_view host);

/// The host without a port.
std::string_view withoutPort(std::string_view host);

/// Returns the queue of the host with the longest matching path prefix. `host`
/// may have a port.
std::optional<QueueRoute> findRoute(const protocol::CellConfig &config,
                                    std::string_view host,
                                    std::string_view path);

/// Identifies a queue by its address. Its name may change, and other queues may
/// have the same.
std::string queueId(const protocol::QueueConfig &queue);

const protocol::PoolConfig *findPool(const protocol::CellConfig &config,
                                     const std::string &name);

/// Why a configuration is invalid; nothing if it is valid.
std::optional<std::string> validationError(const protocol::CellConfig &config);

/// Why a submission is invalid; nothing if it is valid.
std::optional<std::string> validationError(const protocol::WorkflowSpec &spec);

} // namespace masticwinch::workflow
