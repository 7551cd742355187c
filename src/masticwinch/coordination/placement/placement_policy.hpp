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
  /// Strictly by submission; the first that doesn't fit holds up the rest.
  FirstComeFirstServed,
  /// Urgent work first, then the team with the lowest dominant share.
  FairShare,
};

/// A VM that has room for a task, as policies see it.
struct Candidate {
  WorkerIndex Vm = NoIndex;
  Resources Capacity;
  Resources Free;
  Resources Request;
  /// Tasks of the same job in the VM's rack and data centre.
  std::uint32_t SameRack = 0;
  std::uint32_t SameDataCenter = 0;
};

/// Chooses among VMs that have room. The lowest score wins.
template <class Policy>
concept PlacementPolicy = requires(const Policy &policy, const Candidate &it) {
  { Policy::Order } -> std::convertible_to<QueueOrder>;
  { Policy::Preempts } -> std::convertible_to<bool>;
  { Policy::Reserves } -> std::convertible_to<bool>;
  { Policy::RandomStart } -> std::convertible_to<bool>;
  { Policy::Samples } -> std::convertible_to<std::uint32_t>;
  { policy.score(it) } -> std::same_as<std::int64_t>;
};

/// Takes the first VM with room, in submission order. The baseline.
struct FirstFitPolicy {
  static constexpr QueueOrder Order = QueueOrder::FirstComeFirstServed;
  static constexpr bool Preempts = false;
  static constexpr bool Reserves = false;
  static constexpr bool RandomStart = false;
  static constexpr std::uint32_t Samples = 1;
  std::int64_t score(const Candidate &) const { return 0; }
};

/// Takes the VM that is fullest after the task, and keeps accelerators for
/// those that need them. Gangs reserve, urgent work preempts.
struct PackPolicy {
  static constexpr QueueOrder Order = QueueOrder::FairShare;
  static constexpr bool Preempts = true;
  static constexpr bool Reserves = true;
  static constexpr bool RandomStart = false;
  static constexpr std::uint32_t Samples = 16;
  std::int64_t score(const Candidate &it) const;
};

/// Takes the VM whose rack and data centre hold the fewest tasks of the job,
/// then the emptiest.
struct SpreadPolicy {
  static constexpr QueueOrder Order = QueueOrder::FairShare;
  static constexpr bool Preempts = true;
  static constexpr bool Reserves = true;
  static constexpr bool RandomStart = true;
  static constexpr std::uint32_t Samples = 24;
  std::int64_t score(const Candidate &it) const;
};

/// Names of the policies, as profiles and settings give them.
enum class PolicyName : std::uint8_t { FirstFit, Pack, Spread };

/// Calls the function with the policy of that name.
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
