#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <cstdint>

namespace masticwinch::placement {

/// Positions in the tables of one placer; they mean nothing to other processes.
using WorkerIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using TeamIndex = std::uint32_t;

/// Stands for no entry of a table.
inline constexpr std::uint32_t NoIndex = 0xffffffffU;

/// Where an attempt that holds resources stands.
enum class AttemptState : std::uint8_t {
  /// Waits until the record of its start is durable.
  Recording,
  /// Told to the worker, or about to be; not confirmed.
  Starting,
  Running,
  /// The worker was told to stop it, and has not confirmed that.
  Stopping,
};

/// Where a task of a job stands.
enum class TaskState : std::uint8_t {
  Waiting,
  /// An attempt holds resources.
  Active,
  Finished,
  /// Ended for good without success.
  Failed,
  /// Not repeatable, and its worker vanished while it may have run.
  Unknown,
  Cancelled,
  /// Replaced by another task of a service, for a drain.
  Replaced,
};

/// Why a job does not start.
enum class WaitReason : std::uint8_t {
  None,
  /// Capacity is short now; others are served first.
  Capacity,
  TeamQuota,
  /// A gang that holds a reservation.
  Reservation,
  /// Its tasks failed on several workers.
  BackOff,
  /// Accepted under an earlier leader, whose leases may still run.
  LeaderChange,
  /// Larger than any VM that has announced itself.
  LargerThanAnyVm,
  /// A gang larger than all VMs together.
  LargerThanCell,
  /// Larger than its team's whole quota.
  LargerThanQuota,
  /// No worker has announced itself.
  NoWorkers,
};

} // namespace masticwinch::placement

namespace masticwinch {

template <> struct EnumNames<placement::AttemptState> {
  using Kind = placement::AttemptState;
  static constexpr std::array<EnumName<Kind>, 4> Table{{
      {Kind::Recording, "recording"},
      {Kind::Starting, "starting"},
      {Kind::Running, "running"},
      {Kind::Stopping, "stopping"},
  }};
};

template <> struct EnumNames<placement::TaskState> {
  using Kind = placement::TaskState;
  static constexpr std::array<EnumName<Kind>, 7> Table{{
      {Kind::Waiting, "waiting"},
      {Kind::Active, "active"},
      {Kind::Finished, "finished"},
      {Kind::Failed, "failed"},
      {Kind::Unknown, "unknown"},
      {Kind::Cancelled, "cancelled"},
      {Kind::Replaced, "replaced"},
  }};
};

template <> struct EnumNames<placement::WaitReason> {
  using Kind = placement::WaitReason;
  static constexpr std::array<EnumName<Kind>, 10> Table{{
      {Kind::None, "none"},
      {Kind::Capacity, "capacity"},
      {Kind::TeamQuota, "team_quota"},
      {Kind::Reservation, "reservation"},
      {Kind::BackOff, "back_off"},
      {Kind::LeaderChange, "leader_change"},
      {Kind::LargerThanAnyVm, "larger_than_any_vm"},
      {Kind::LargerThanCell, "larger_than_cell"},
      {Kind::LargerThanQuota, "larger_than_quota"},
      {Kind::NoWorkers, "no_workers"},
  }};
};

} // namespace masticwinch
