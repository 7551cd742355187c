#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwinch::workflow {

/// The client accounts of one configuration, found by key and by name in
/// constant time.
class ClientAccounts {
public:
  ClientAccounts() = default;
  explicit ClientAccounts(const protocol::CellConfig &config);

  /// Whether the configuration declares accounts, so that the queues that are
  /// not public need a key.
  bool areDeclared() const { return Declared; }

  const std::vector<protocol::ClientAccount> &all() const { return Accounts; }

  /// Null if no account has the key; an empty key belongs to nobody.
  const protocol::ClientAccount *findByKey(std::string_view key) const;
  const protocol::ClientAccount *find(std::string_view name) const;

private:
  struct Hash {
    // The name by which the standard library enables lookups by string views.
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const;
  };
  /// Positions in `Accounts`.
  using Index =
      std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>>;

  const protocol::ClientAccount *at(const Index &index,
                                    std::string_view text) const;

  bool Declared = false;
  std::vector<protocol::ClientAccount> Accounts;
  Index ByKey;
  Index ByName;
};

/// Whether a call of the queue needs the key of a client account.
bool needsKey(const protocol::CellConfig &config,
              const protocol::QueueConfig &queue);

} // namespace masticwinch::workflow
