#pragma once

#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workflow {

/// Name of the client account that a call of the queue is made for, by the key
/// that it presents. Empty if the queue needs no key and the call has none that
/// is known; nothing if the queue needs one.
std::optional<std::string> authenticate(const WorkflowState &state,
                                        const protocol::QueueConfig &queue,
                                        std::string_view key);

/// Whether a caller of this account, which may be empty, may read, cancel and
/// submit again a workflow that belongs to `owner`. One that belongs to nobody
/// is open to all, and so is every one in a cell without client accounts.
bool mayAccess(const protocol::CellConfig &config, const std::string &owner,
               const std::string &account);

} // namespace masticwinch::workflow
