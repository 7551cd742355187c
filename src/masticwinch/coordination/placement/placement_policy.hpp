#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <concepts>
#include <cstdint>
#include <limits>

namespace masticwinch::placement {

/// Order in which waiting jobs are served.
enum class QueueOrder : std::uint8_t {
  /// Strictly in order of submission; a job that doesn't fit blocks those
  /// behind it.
  FirstComeFirstServed,
  /// Urgent work first, then the team with the lowest dominant share.
  FairShare,
};

/// A VM with room for a task, as seen by a policy.
struct Candidate {
  WorkerIndex Vm = NoIndex;
  Resources Capacity;
  Resources Free;
  Resources Request;
  /// Tasks of the same job in the VM's rack and data centre.
  std::uint32_t SameRack = 0;
  std::uint32_t SameDataCenter = 0;
};

/// Scores VMs that have room for a task; the VM with the lowest score is
/// chosen.
template <class Policy>
concept PlacementPolicy = requires(const Policy &policy, const Candidate &it) {
  { Policy::Order } -> std::convertible_to<QueueOrder>;
  { Policy::Preempts } -> std::convertible_to<bool>;
  { Policy::Reserves } -> std::convertible_to<bool>;
  { Policy::RandomStart } -> std::convertible_to<bool>;
  { Policy::Samples } -> std::convertible_to<std::uint32_t>;
  { policy.score(it) } -> std::same_as<std::int64_t>;
};

/// First fit, in order of submission. The baseline for other policies.
struct FirstFitPolicy {
  static constexpr QueueOrder Order = QueueOrder::FirstComeFirstServed;
  static constexpr bool Preempts = false;
  static constexpr bool Reserves = false;
  static constexpr bool RandomStart = false;
  static constexpr std::uint32_t Samples = 1;
  std::int64_t score(const Candidate &) const { return 0; }
};

/// Best fit: chooses the VM that is fullest after placement, and avoids VMs
/// with free accelerators for tasks that need none. Gangs may reserve VMs and
/// urgent work may preempt.
struct PackPolicy {
  static constexpr QueueOrder Order = QueueOrder::FairShare;
  static constexpr bool Preempts = true;
  static constexpr bool Reserves = true;
  static constexpr bool RandomStart = false;
  static constexpr std::uint32_t Samples = 16;
  std::int64_t score(const Candidate &it) const;
};

/// Chooses the VM whose rack and data centre run the fewest tasks of the job,
/// then the emptiest.
struct SpreadPolicy {
  static constexpr QueueOrder Order = QueueOrder::FairShare;
  static constexpr bool Preempts = true;
  static constexpr bool Reserves = true;
  static constexpr bool RandomStart = true;
  static constexpr std::uint32_t Samples = 24;
  std::int64_t score(const Candidate &it) const;
};

/// Policy names in profiles and settings.
enum class PolicyName : std::uint8_t { FirstFit, Pack, Spread };

/// Calls the function with an instance of the named policy.
template <class Function>
decltype(auto) withPolicy(PolicyName name, Function &&function) {
  switch (name) {
  case PolicyName::FirstFit:
    return function(FirstFitPolicy{});
  case PolicyName::Spread:
    return function(SpreadPolicy{});
  case PolicyName::Pack:
    break;
  }
  return function(PackPolicy{});
}

} // namespace masticwinch::placement

namespace masticwinch {

template <> struct EnumNames<placement::PolicyName> {
  using Kind = placement::PolicyName;
  static constexpr std::array<EnumName<Kind>, 3> Table{{
      {Kind::FirstFit, "first_fit"},
      {Kind::Pack, "pack"},
      {Kind::Spread, "spread"},
  }};
};

} // namespace masticwinch
