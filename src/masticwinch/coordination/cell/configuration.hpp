#pragma once

#include "masticwinch/coordination/cell/config_key.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::cell {

/// The cell's configuration: items by key, each with the revision at which it
/// last changed. Removed items stay as tombstones, so that a late change can't
/// bring them back and entry VMs learn of the removal.
class Configuration {
public:
  /// Revision of the latest change; 0 for an empty configuration.
  std::uint64_t revision() const { return Revision; }

  /// Makes a change with the next revision, which it returns.
  std::uint64_t put(protocol::ConfigItem item);

  /// Takes in items received from the leader: all that changed after revision
  /// `base` up to `revision`. Nothing is taken if changes before `base` are
  /// missing here. Items and revisions never go back; returns whether anything
  /// changed.
  bool merge(const std::vector<protocol::ConfigItem> &items, std::uint64_t base,
             std::uint64_t revision);

  /// The item, also when it is removed; null if it never was.
  const protocol::ConfigItem *find(const ConfigKey &key) const;

  /// The item unless it is removed.
  const protocol::ConfigItem *findPresent(const ConfigKey &key) const;

  /// Items that changed after a revision, in the order of their change.
  std::vector<const protocol::ConfigItem *>
  changesSince(std::uint64_t revision) const;

  /// Present items of a kind, ordered by name.
  std::vector<const protocol::ConfigItem *> present(ConfigKind kind) const;

private:
  void store(protocol::ConfigItem item);

  std::uint64_t Revision = 0;
  std::map<ConfigKey, protocol::ConfigItem> Items;
  std::map<std::uint64_t, ConfigKey> ByRevision;
};

} // namespace masticwinch::cell
