#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/storage/storage_error.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::storage {

/// An open file, closed at the end of its life. Errors of all functions:
/// `StorageError`.
class File {
public:
  File() = default;
  ~File();
  File(File &&other) noexcept;
  File &operator=(File &&other) noexcept;
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  /// Opens a file for reading and appending; makes it if it isn't there.
  static Result<File> openForAppend(const std::string &path);

  bool isOpen() const { return Descriptor >= 0; }
  const std::string &path() const { return Path; }
  std::uint64_t size() const { return Size; }

  /// Appends bytes. After an error the file is as it was before.
  Result<void> append(const std::string &bytes);

  /// Cuts the file to a size.
  Result<void> truncate(std::uint64_t size);

  /// Waits until everything is on the disk.
  Result<void> sync();

  /// Takes a lock that ends with the process. Errors: `Locked`.
  Result<void> lock();

private:
  int Descriptor = -1;
  std::string Path;
  std::uint64_t Size = 0;
};

/// The error of the last system call.
StorageError systemError(const std::string &path, const std::string &what);

/// Reads a complete file.
Result<std::string> readFile(const std::string &path);

/// Replaces a file so that a crash leaves the old content or the new one, and
/// syncs it and its folder.
Result<void> replaceFile(const std::string &folder, const std::string &name,
                         const std::string &bytes);

/// Makes renames, new and removed files of a folder durable.
Result<void> syncFolder(const std::string &folder);

} // namespace masticwinch::storage
