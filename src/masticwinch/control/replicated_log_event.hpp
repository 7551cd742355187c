#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <array>

namespace masticwinch::control {

/// Events that `ReplicatedLog` writes to the event log.
enum class ReplicatedLogEvent {
  FolderOpened,
  FolderRefused,
  FolderSetAside,
  CellFounded,
  FoundingDelayed,
  ReplicaWaiting,
  DiskFull,
  DescriptorsUsedUp,
  DiskWritable,
  StorageFailed,
  SnapshotTaken,
  SenderRefused,
  MembershipRepair,
  LeadershipOffered,
  LeadershipResigned,
  LeaseLapsed,
  RecordTooLarge,
};

} // namespace masticwinch::control

namespace masticwinch {

template <> struct EnumNames<control::ReplicatedLogEvent> {
  using Event = control::ReplicatedLogEvent;
  static constexpr std::array Table{
      EnumName<Event>{Event::FolderOpened, "data_folder_opened"},
      EnumName<Event>{Event::FolderRefused, "data_folder_refused"},
      EnumName<Event>{Event::FolderSetAside, "data_folder_set_aside"},
      EnumName<Event>{Event::CellFounded, "cell_founded"},
      EnumName<Event>{Event::FoundingDelayed, "founding_delayed"},
      EnumName<Event>{Event::ReplicaWaiting, "replica_waiting"},
      EnumName<Event>{Event::DiskFull, "disk_full"},
      EnumName<Event>{Event::DescriptorsUsedUp, "descriptors_used_up"},
      EnumName<Event>{Event::DiskWritable, "disk_writable"},
      EnumName<Event>{Event::StorageFailed, "storage_failed"},
      EnumName<Event>{Event::SnapshotTaken, "snapshot_taken"},
      EnumName<Event>{Event::SenderRefused, "replica_sender_refused"},
      EnumName<Event>{Event::MembershipRepair, "membership_repair"},
      EnumName<Event>{Event::LeadershipOffered, "leadership_offered"},
      EnumName<Event>{Event::LeadershipResigned, "leadership_resigned"},
      EnumName<Event>{Event::LeaseLapsed, "leadership_lease_lapsed"},
      EnumName<Event>{Event::RecordTooLarge, "record_too_large"}};
};

} // namespace masticwinch
