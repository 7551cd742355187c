#include "masticwinch/coordination/workflow/caller_access.hpp"

namespace masticwinch::workflow {

std::optional<std::string> authenticate(const WorkflowState &state,
                                        const protocol::QueueConfig &queue,
                                        std::string_view key) {
  if (const protocol::ClientAccount *account =
          state.accounts().findByKey(key)) {
    return account->name();
  }
  if (needsKey(state.config(), queue)) {
    return std::nullopt;
  }
  return std::string();
}

bool mayAccess(const protocol::CellConfig &config, const std::string &owner,
               const std::string &account) {
  return owner.empty() || owner == account || !config.accounts_declared();
}

} // namespace masticwinch::workflow
