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
      Path(std::move(other.Path)), Size(other.Size) {}

File &File::operator=(File &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  std::swap(Path, other.Path);
  std::swap(Size, other.Size);
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
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t n =
        ::write(Descriptor, bytes.data() + written, bytes.size() - written);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      const StorageError error = systemError(Path, "write");
      BOOST_LEAF_CHECK(truncate(Size));
      return boost::leaf::new_error(error);
    }
    written += static_cast<std::size_t>(n);
  }
  Size += bytes.size();
  return {};
}

Result<void> File::truncate(std::uint64_t size) {
  if (::ftruncate(Descriptor, static_cast<off_t>(size)) != 0) {
    return boost::leaf::new_error(systemError(Path, "truncate"));
  }
  Size = size;
  return {};
}

Result<void> File::sync() {
  if (::fdatasync(Descriptor) != 0) {
    StorageError error = systemError(Path, "sync");
    error.Kind = StorageErrorKind::SyncFailed;
    return boost::leaf::new_error(std::move(error));
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
  StorageError error = systemError(folder, "sync");
  ::close(descriptor);
  if (failed != 0) {
    error.Kind = StorageErrorKind::SyncFailed;
    return boost::leaf::new_error(std::move(error));
  }
  return {};
}

} // namespace masticwinch::storage
