#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>

namespace masticwinch::workflow {

/// Whether a gang that waits holds room, and if not, for what it waits.
enum class Gathering : std::uint8_t {
  /// The last pass did not try the gang, or it needed no room.
  NotTried,
  /// It holds all its room and waits for tickets.
  Complete,
  /// It holds a part of its room, or takes the next that becomes free.
  Gathers,
  /// Gangs do not gather.
  Disabled,
  /// As many gangs gather as may do so at the same time.
  NoSlot,
  /// It needs more than the others leave of the share for gathering.
  ShareUsed,
  /// Its room is not expected within any horizon.
  NoForecast,
  /// Its room is expected, but not soon enough.
  TooFar,
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::Gathering> {
  using Gathering = workflow::Gathering;
  static constexpr std::array Table{
      EnumName<Gathering>{Gathering::NotTried, "not_tried"},
      EnumName<Gathering>{Gathering::Complete, "complete"},
      EnumName<Gathering>{Gathering::Gathers, "gathers"},
      EnumName<Gathering>{Gathering::Disabled, "disabled"},
      EnumName<Gathering>{Gathering::NoSlot, "no_slot"},
      EnumName<Gathering>{Gathering::ShareUsed, "share_used"},
      EnumName<Gathering>{Gathering::NoForecast, "no_forecast"},
      EnumName<Gathering>{Gathering::TooFar, "too_far"}};
};

} // namespace masticwinch
