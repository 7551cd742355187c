#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/storage/storage_error.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::storage {

/// An open file; the destructor closes it. Errors of all functions:
/// `StorageError`.
class File {
public:
  File() = default;
  ~File();
  File(File &&other) noexcept;
  File &operator=(File &&other) noexcept;
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  /// Opens a file for reading and appending; creates it if it does not exist.
  static Result<File> openForAppend(const std::string &path);

  bool isOpen() const { return Descriptor >= 0; }
  const std::string &path() const { return Path; }
  std::uint64_t size() const { return Size; }

  /// Appends bytes. After an error the file has its previous content, at the
  /// latest before the next append: a full disk may refuse to truncate it.
  Result<void> append(const std::string &bytes);

  /// Appends bytes and waits until they are on disk. After `DiskFull` the bytes
  /// can be appended again.
  Result<void> appendAndSync(const std::string &bytes);

  /// Truncates the file to a size.
  Result<void> truncate(std::uint64_t size);

  /// Waits until all written data is on disk.
  Result<void> sync();

  /// Acquires an exclusive lock that is released when the process ends. Errors:
  /// `Locked`.
  Result<void> lock();

private:
  /// Discards what a failed append has left behind the file's content.
  void discardTail();

  int Descriptor = -1;
  std::string Path;
  /// Size of the content; the file is longer while `TornTail` is set.
  std::uint64_t Size = 0;
  bool TornTail = false;
};

/// Returns the error of the last system call.
StorageError systemError(const std::string &path, const std::string &what);

/// Reads a complete file.
Result<std::string> readFile(const std::string &path);

/// Atomically replaces a file: after a crash it has either the old or the new
/// content. Syncs the file and its folder.
Result<void> replaceFile(const std::string &folder, const std::string &name,
                         const std::string &bytes);

/// Makes created, renamed and removed files of a folder durable.
Result<void> syncFolder(const std::string &folder);

} // namespace masticwinch::storage
