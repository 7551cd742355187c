#include "masticwinch/coordination/cell/config_key.hpp"

#include "masticwinch/protocol/cell.pb.h"

namespace masticwinch::cell {

ConfigKey keyOf(const protocol::ConfigItem &item) {
  switch (item.item_case()) {
  case protocol::ConfigItem::kProfile:
    return {ConfigKind::Profile, item.profile().name()};
  case protocol::ConfigItem::kUpstream:
    return {ConfigKind::Upstream, item.upstream().name()};
  case protocol::ConfigItem::kEntry:
    return {ConfigKind::Entry, item.entry().name()};
  case protocol::ConfigItem::kVm:
    return {ConfigKind::Vm, item.vm().name()};
  case protocol::ConfigItem::kTeam:
    return {ConfigKind::Team, item.team().name()};
  case protocol::ConfigItem::ITEM_NOT_SET:
    break;
  }
  return {};
}

} // namespace masticwinch::cell
