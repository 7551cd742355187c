#pragma once

#include "masticwinch/coordination/cell/config_key.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::cell {

/// The cell's configuration: items by key, each with the revision of its last
/// change. Removed items are kept as tombstones, so that a late change can't
/// restore them and entry VMs learn about the removal.
class Configuration {
public:
  /// Revision of the latest change; 0 for an empty configuration.
  std::uint64_t revision() const { return Revision; }

  /// Stores a changed item under the next revision, which is returned.
  std::uint64_t put(protocol::ConfigItem item);

  /// Merges items received from the leader: all that changed after revision
  /// `base` up to `revision`. Nothing is merged if changes up to `base` are
  /// missing here. Items and revisions never revert. Returns whether anything
  /// changed.
  bool merge(const std::vector<protocol::ConfigItem> &items, std::uint64_t base,
             std::uint64_t revision);

  /// Returns the item, even if it is removed; null if it never existed.
  const protocol::ConfigItem *find(const ConfigKey &key) const;

  /// Returns the item; null if it is removed or never existed.
  const protocol::ConfigItem *findPresent(const ConfigKey &key) const;

  /// Items that changed after a revision, in the order of their last change.
  std::vector<const protocol::ConfigItem *>
  changesSince(std::uint64_t revision) const;

  /// Items of a kind that are not removed, ordered by name.
  std::vector<const protocol::ConfigItem *> present(ConfigKind kind) const;

private:
  void store(protocol::ConfigItem item);

  std::uint64_t Revision = 0;
  std::map<ConfigKey, protocol::ConfigItem> Items;
  std::map<std::uint64_t, ConfigKey> ByRevision;
};

} // namespace masticwinch::cell
