#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>

namespace masticwinch::control {

/// Events of a control process.
enum class ControlEvent : std::uint8_t {
  Started,
  Stopping,
  Stopped,
  LeaderStarted,
  CommandApplied,
  RecordUnreadable,
};

} // namespace masticwinch::control

namespace masticwinch {

template <> struct EnumNames<control::ControlEvent> {
  static constexpr std::array<EnumName<control::ControlEvent>, 6> Table{{
      {control::ControlEvent::Started, "control_started"},
      {control::ControlEvent::Stopping, "control_stopping"},
      {control::ControlEvent::Stopped, "control_stopped"},
      {control::ControlEvent::LeaderStarted, "leader_started"},
      {control::ControlEvent::CommandApplied, "command_applied"},
      {control::ControlEvent::RecordUnreadable, "record_unreadable"},
  }};
};

} // namespace masticwinch
