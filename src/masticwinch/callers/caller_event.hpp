#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>

namespace masticwinch::callers {

/// Events of callers' requests.
enum class CallerEvent : std::uint8_t {
  RequestTaken,
  RequestDispatched,
  AttemptEnded,
  RequestEnded,
};

} // namespace masticwinch::callers

namespace masticwinch {

template <> struct EnumNames<callers::CallerEvent> {
  static constexpr std::array<EnumName<callers::CallerEvent>, 4> Table{{
      {callers::CallerEvent::RequestTaken, "request_taken"},
      {callers::CallerEvent::RequestDispatched, "request_dispatched"},
      {callers::CallerEvent::AttemptEnded, "attempt_ended"},
      {callers::CallerEvent::RequestEnded, "request_ended"},
  }};
};

} // namespace masticwinch
