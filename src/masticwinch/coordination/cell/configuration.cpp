#include "masticwinch/coordination/cell/configuration.hpp"

#include <algorithm>

namespace masticwinch::cell {

std::uint64_t Configuration::put(protocol::ConfigItem item) {
  ++Revision;
  item.set_revision(Revision);
  store(std::move(item));
  return Revision;
}

bool Configuration::merge(const std::vector<protocol::ConfigItem> &items,
                          std::uint64_t base, std::uint64_t revision) {
  if (revision <= Revision || base > Revision) {
    return false;
  }
  for (const protocol::ConfigItem &it : items) {
    const protocol::ConfigItem *existing = find(keyOf(it));
    if (existing == nullptr || existing->revision() < it.revision()) {
      store(it);
    }
  }
  Revision = revision;
  return true;
}

const protocol::ConfigItem *Configuration::find(const ConfigKey &key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? nullptr : &it->second;
}

const protocol::ConfigItem *
Configuration::findPresent(const ConfigKey &key) const {
  const protocol::ConfigItem *item = find(key);
  return item == nullptr || item->removed() ? nullptr : item;
}

std::vector<const protocol::ConfigItem *>
Configuration::changesSince(std::uint64_t revision) const {
  std::vector<const protocol::ConfigItem *> changes;
  for (auto it = ByRevision.upper_bound(revision); it != ByRevision.end();
       ++it) {
    changes.push_back(find(it->second));
  }
  return changes;
}

std::vector<const protocol::ConfigItem *>
Configuration::present(ConfigKind kind) const {
  std::vector<const protocol::ConfigItem *> items;
  for (auto it = Items.lower_bound({kind, ""});
       it != Items.end() && it->first.Kind == kind; ++it) {
    if (!it->second.removed()) {
      items.push_back(&it->second);
    }
  }
  return items;
}

void Configuration::store(protocol::ConfigItem item) {
  const ConfigKey key = keyOf(item);
  const auto existing = Items.find(key);
  if (existing != Items.end()) {
    ByRevision.erase(existing->second.revision());
  }
  ByRevision[item.revision()] = key;
  Items[key] = std::move(item);
}

} // namespace masticwinch::cell
