#include "masticwinch/coordination/workflow/client_accounts.hpp"

#include <xxhash.h>

namespace masticwinch::workflow {

std::size_t ClientAccounts::Hash::operator()(std::string_view text) const {
  return static_cast<std::size_t>(XXH3_64bits(text.data(), text.size()));
}

ClientAccounts::ClientAccounts(const protocol::CellConfig &config)
    : Declared(config.accounts_declared()),
      Accounts(config.accounts().begin(), config.accounts().end()) {
  for (std::size_t i = 0; i < Accounts.size(); ++i) {
    ByName.emplace(Accounts[i].name(), i);
    for (const std::string &it : Accounts[i].keys()) {
      ByKey.emplace(it, i);
    }
  }
}

const protocol::ClientAccount *ClientAccounts::at(const Index &index,
                                                  std::string_view text) const {
  const auto it = index.find(text);
  return it == index.end() ? nullptr : &Accounts[it->second];
}

const protocol::ClientAccount *
ClientAccounts::findByKey(std::string_view key) const {
  return at(ByKey, key);
}

const protocol::ClientAccount *
ClientAccounts::find(std::string_view name) const {
  return at(ByName, name);
}

bool needsKey(const protocol::CellConfig &config,
              const protocol::QueueConfig &queue) {
  return config.accounts_declared() && !queue.public_access();
}

} // namespace masticwinch::workflow
