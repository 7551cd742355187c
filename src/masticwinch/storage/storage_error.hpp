#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <string>

namespace masticwinch::storage {

enum class StorageErrorKind {
  /// The operating system failed an operation.
  Io,
  /// No space is left on the disk; previously stored data is intact.
  DiskFull,
  /// The process has no file descriptor left to open a file; previously stored
  /// data is intact.
  NoDescriptor,
  /// A sync failed. The state of the disk is unknown, so the process must
  /// terminate.
  SyncFailed,
  /// Another process uses the folder.
  Locked,
  /// The folder belongs to another cluster.
  OtherCluster,
  /// The folder was written by a newer version of the program.
  NewerFormat,
  /// The folder belongs to another user, or other users can write to it.
  Permissions,
  /// The replica's identity, term or vote cannot be read. The folder has to be
  /// set aside and the replica joins as a new one.
  MetadataDamaged,
};

struct StorageError {
  StorageErrorKind Kind;
  std::string Path;
  std::string Detail;

  /// One-line description for logs and operators.
  std::string text() const;

  /// Whether the same write may succeed later; until then no stored data is
  /// lost.
  bool isRetryable() const {
    return Kind == StorageErrorKind::DiskFull ||
           Kind == StorageErrorKind::NoDescriptor;
  }
};

} // namespace masticwinch::storage

namespace masticwinch {

template <> struct EnumNames<storage::StorageErrorKind> {
  using Kind = storage::StorageErrorKind;
  static constexpr std::array Table{
      EnumName<Kind>{Kind::Io, "io"},
      EnumName<Kind>{Kind::DiskFull, "disk-full"},
      EnumName<Kind>{Kind::NoDescriptor, "no-descriptor"},
      EnumName<Kind>{Kind::SyncFailed, "sync-failed"},
      EnumName<Kind>{Kind::Locked, "locked"},
      EnumName<Kind>{Kind::OtherCluster, "other-cluster"},
      EnumName<Kind>{Kind::NewerFormat, "newer-format"},
      EnumName<Kind>{Kind::Permissions, "permissions"},
      EnumName<Kind>{Kind::MetadataDamaged, "metadata-damaged"}};
};

} // namespace masticwinch
