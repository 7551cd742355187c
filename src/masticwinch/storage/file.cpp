#include "masticwinch/storage/file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace masticwinch::storage {

namespace {

constexpr mode_t FileMode = 0600;

StorageErrorKind kindOf(int code) {
  switch (code) {
  case ENOSPC:
  case EDQUOT:
  case EFBIG:
    return StorageErrorKind::DiskFull;
  case EMFILE:
  case ENFILE:
    return StorageErrorKind::NoDescriptor;
  default:
    return StorageErrorKind::Io;
  }
}

/// Returns the error of a failed sync. For want of space it concerns only what
/// was written last.
StorageError syncError(const std::string &path) {
  StorageError error = systemError(path, "sync");
  if (error.Kind != StorageErrorKind::DiskFull) {
    error.Kind = StorageErrorKind::SyncFailed;
  }
  return error;
}

} // namespace

StorageError systemError(const std::string &path, const std::string &what) {
  const int code = errno;
  return {kindOf(code), path, what + ": " + std::strerror(code)};
}

File::~File() {
  if (Descriptor >= 0) {
    ::close(Descriptor);
  }
}

File::File(File &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)),
      Path(std::move(other.Path)), Size(other.Size), TornTail(other.TornTail) {}

File &File::operator=(File &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  std::swap(Path, other.Path);
  std::swap(Size, other.Size);
  std::swap(TornTail, other.TornTail);
  return *this;
}

Result<File> File::openForAppend(const std::string &path) {
  File file;
  file.Path = path;
  file.Descriptor =
      ::open(path.c_str(), O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, FileMode);
  if (file.Descriptor < 0) {
    return boost::leaf::new_error(systemError(path, "open"));
  }
  struct stat status {};
  if (::fstat(file.Descriptor, &status) != 0) {
    return boost::leaf::new_error(systemError(path, "stat"));
  }
  file.Size = static_cast<std::uint64_t>(status.st_size);
  return file;
}

Result<void> File::append(const std::string &bytes) {
  if (TornTail) {
    BOOST_LEAF_CHECK(truncate(Size));
  }
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t n =
        ::write(Descriptor, bytes.data() + written, bytes.size() - written);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      const StorageError error = systemError(Path, "write");
      discardTail();
      return boost::leaf::new_error(error);
    }
    written += static_cast<std::size_t>(n);
  }
  Size += bytes.size();
  return {};
}

Result<void> File::appendAndSync(const std::string &bytes) {
  const std::uint64_t before = Size;
  BOOST_LEAF_CHECK(append(bytes));
  if (::fdatasync(Descriptor) != 0) {
    const StorageError error = syncError(Path);
    // The kernel may not write pages again whose writeback failed; appending
    // the bytes anew does.
    Size = before;
    discardTail();
    return boost::leaf::new_error(error);
  }
  return {};
}

void File::discardTail() {
  TornTail = ::ftruncate(Descriptor, static_cast<off_t>(Size)) != 0;
}

Result<void> File::truncate(std::uint64_t size) {
  if (::ftruncate(Descriptor, static_cast<off_t>(size)) != 0) {
    return boost::leaf::new_error(systemError(Path, "truncate"));
  }
  Size = size;
  TornTail = false;
  return {};
}

Result<void> File::sync() {
  if (::fdatasync(Descriptor) != 0) {
    return boost::leaf::new_error(syncError(Path));
  }
  return {};
}

Result<void> File::lock() {
  if (::flock(Descriptor, LOCK_EX | LOCK_NB) != 0) {
    return boost::leaf::new_error(StorageError{
        StorageErrorKind::Locked, Path, "folder is in use by another process"});
  }
  return {};
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return boost::leaf::new_error(systemError(path, "open"));
  }
  std::string bytes{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) {
    return boost::leaf::new_error(systemError(path, "read"));
  }
  return bytes;
}

Result<void> replaceFile(const std::string &folder, const std::string &name,
                         const std::string &bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".new";
  std::error_code ec;
  std::filesystem::remove(temporary, ec);
  {
    BOOST_LEAF_AUTO(file, File::openForAppend(temporary));
    // A full disk may have refused to remove the file of a failed attempt.
    BOOST_LEAF_CHECK(file.truncate(0));
    BOOST_LEAF_CHECK(file.append(bytes));
    BOOST_LEAF_CHECK(file.sync());
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return boost::leaf::new_error(systemError(path, "rename"));
  }
  return syncFolder(folder);
}

Result<void> syncFolder(const std::string &folder) {
  const int descriptor =
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return boost::leaf::new_error(systemError(folder, "open"));
  }
  const int failed = ::fsync(descriptor);
  StorageError error = syncError(folder);
  ::close(descriptor);
  if (failed != 0) {
    return boost::leaf::new_error(std::move(error));
  }
  return {};
}

} // namespace masticwinch::storage
