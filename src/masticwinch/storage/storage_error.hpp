#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <string>

namespace masticwinch::storage {

enum class StorageErrorKind {
  /// The operating system refused an operation.
  Io,
  /// No space is left; what was stored before is intact.
  DiskFull,
  /// The process has no descriptor left to open a file with; what was stored
  /// before is intact.
  NoDescriptor,
  /// A sync failed; what the disk holds is unknown, the process must end.
  SyncFailed,
  /// Another process uses the folder.
  Locked,
  /// The folder belongs to another cluster.
  OtherCluster,
  /// A newer version of the program wrote the folder.
  NewerFormat,
  /// The folder belongs to another user, or others may write to it.
  Permissions,
  /// The replica's identity, term or vote can't be read. The folder has to be
  /// set aside, and the replica joins anew.
  MetadataDamaged,
};

struct StorageError {
  StorageErrorKind Kind;
  std::string Path;
  std::string Detail;

  /// One line for logs and people.
  std::string text() const;

  /// Whether the same write may succeed later, with nothing lost until then.
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
