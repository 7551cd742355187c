#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <cstdint>

namespace masticwinch::placement {

/// Indexes into the tables of one placer; meaningless in other processes.
using WorkerIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using TeamIndex = std::uint32_t;

/// Index that refers to no entry.
inline constexpr std::uint32_t NoIndex = 0xffffffffU;

/// State of an attempt that holds resources.
enum class AttemptState : std::uint8_t {
  /// Waits until the record of its start is durable.
  Recording,
  /// Sent to the worker, or about to be, but not confirmed.
  Starting,
  Running,
  /// The worker was told to stop it but has not confirmed that.
  Stopping,
};

/// State of a task of a job.
enum class TaskState : std::uint8_t {
  Waiting,
  /// An attempt holds resources.
  Active,
  Finished,
  /// Ended without success; not retried.
  Failed,
  /// Not repeatable, and its worker was lost while it may have run.
  Unknown,
  Cancelled,
  /// Replaced by another task of its service during a drain.
  Replaced,
};

/// Why a job waits.
enum class WaitReason : std::uint8_t {
  None,
  /// Not enough free capacity at present; other jobs are served first.
  Capacity,
  TeamQuota,
  /// VMs are reserved for it but not free yet.
  Reservation,
  /// Delayed because its tasks failed on several VMs.
  BackOff,
  /// Accepted under an earlier leader, whose leases may still be valid.
  LeaderChange,
  /// A task is larger than any VM that has announced itself.
  LargerThanAnyVm,
  /// A gang larger than all VMs together.
  LargerThanCell,
  /// Larger than the whole quota of its team.
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
