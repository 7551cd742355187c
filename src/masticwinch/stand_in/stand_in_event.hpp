#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>

namespace masticwinch {

/// Events that the stand-ins for upstreams and workers log.
enum class StandInEvent : std::uint8_t {
  Started,
  Announced,
  AnnounceFailed,
  Superseded,
  LeaveStarted,
  LeaveFailed,
  Left,
  LeaseRefused,
  LeaseExpired,
  Stopped,
};

template <> struct EnumNames<StandInEvent> {
  static constexpr std::array<EnumName<StandInEvent>, 10> Table{{
      {StandInEvent::Started, "started"},
      {StandInEvent::Announced, "announced"},
      {StandInEvent::AnnounceFailed, "announce_failed"},
      {StandInEvent::Superseded, "superseded"},
      {StandInEvent::LeaveStarted, "leave_started"},
      {StandInEvent::LeaveFailed, "leave_failed"},
      {StandInEvent::Left, "left"},
      {StandInEvent::LeaseRefused, "lease_refused"},
      {StandInEvent::LeaseExpired, "lease_expired"},
      {StandInEvent::Stopped, "stopped"},
  }};
};

} // namespace masticwinch
