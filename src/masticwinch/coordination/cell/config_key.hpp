#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace masticwinch::protocol {
class ConfigItem;
} // namespace masticwinch::protocol

namespace masticwinch::cell {

/// Kinds of configuration items.
enum class ConfigKind : std::uint8_t { Profile, Upstream, Entry, Vm, Team };

/// Identifies a configuration item within the cell.
struct ConfigKey {
  ConfigKind Kind = ConfigKind::Profile;
  std::string Name;

  auto operator<=>(const ConfigKey &) const = default;
};

/// Returns the key of an item; the name is empty if the item has no content.
ConfigKey keyOf(const protocol::ConfigItem &item);

} // namespace masticwinch::cell

namespace masticwinch {

template <> struct EnumNames<cell::ConfigKind> {
  static constexpr std::array<EnumName<cell::ConfigKind>, 5> Table{{
      {cell::ConfigKind::Profile, "profile"},
      {cell::ConfigKind::Upstream, "upstream"},
      {cell::ConfigKind::Entry, "entry"},
      {cell::ConfigKind::Vm, "vm"},
      {cell::ConfigKind::Team, "team"},
  }};
};

} // namespace masticwinch
