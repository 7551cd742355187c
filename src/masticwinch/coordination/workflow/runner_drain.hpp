#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace masticwinch::workflow {

/// Runners that get no other work until a step that found no room starts.
struct RunnerDrain {
  StepKey Step;
  SteadyTime Since{};
  /// Number of the step's tasks that each runner is drained for, by its id.
  std::map<std::string, std::size_t> Places;
};

/// How a drain ended.
enum class DrainEnd : std::uint8_t {
  /// The step started.
  Started,
  /// It lasted too long, or the step waits no longer.
  Expired,
  /// No runners are expected to have room soon enough.
  NoRoom,
  /// The step no longer fits below the cap of its account.
  AccountFull,
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::DrainEnd> {
  using End = workflow::DrainEnd;
  static constexpr std::array Table{
      EnumName<End>{End::Started, "started"},
      EnumName<End>{End::Expired, "expired"},
      EnumName<End>{End::NoRoom, "no_room"},
      EnumName<End>{End::AccountFull, "account_full"}};
};

} // namespace masticwinch
