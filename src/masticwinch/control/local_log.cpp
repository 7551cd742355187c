#include "masticwinch/control/local_log.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <vector>

namespace masticwinch::control {

namespace {

/// Stands in front of every record in the file.
struct RecordHeader {
  std::uint32_t Length = 0;
  std::uint32_t Reserved = 0;
  std::uint64_t Checksum = 0;
};
static_assert(sizeof(RecordHeader) == 16);

[[noreturn]] void fail(const std::string &what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

void writeAll(int file, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::write(file, bytes.data() + done, bytes.size() - done);
    if (n < 0 && errno != EINTR) {
      std::abort();
    }
    done += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
}

void syncFolder(const std::string &folder) {
  const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (handle < 0 || ::fsync(handle) != 0) {
    fail("can't sync the folder " + folder);
  }
  ::close(handle);
}

} // namespace

LocalLog::LocalLog(const std::string &folder, AppliedHandler applied)
    : Applied(std::move(applied)) {
  const std::string path = folder + "/commands.log";
  File = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (File < 0) {
    fail("can't open " + path);
  }
  syncFolder(folder);
  replay();
}

LocalLog::~LocalLog() { ::close(File); }

void LocalLog::replay() {
  struct stat info {};
  if (::fstat(File, &info) != 0) {
    fail("can't read the size of the log");
  }
  const auto size = static_cast<std::size_t>(info.st_size);
  std::string bytes(size, '\0');
  if (::pread(File, bytes.data(), size, 0) != info.st_size) {
    fail("can't read the log");
  }
  std::size_t at = 0;
  while (at + sizeof(RecordHeader) <= size) {
    RecordHeader header;
    std::memcpy(&header, bytes.data() + at, sizeof header);
    if (header.Length > size - at - sizeof header) {
      break;
    }
    const std::string record = bytes.substr(at + sizeof header, header.Length);
    const bool whole =
        XXH3_64bits(record.data(), record.size()) == header.Checksum;
    const std::size_t end = at + sizeof header + header.Length;
    if (!whole && end < size) {
      throw std::runtime_error("the log is damaged at byte " +
                               std::to_string(at));
    }
    if (!whole) {
      break;
    }
    Applied({NextIndex++, 1}, record);
    at = end;
  }
  if (::ftruncate(File, static_cast<off_t>(at)) != 0 || ::fsync(File) != 0 ||
      ::lseek(File, 0, SEEK_END) < 0) {
    fail("can't cut the log's torn tail");
  }
}

std::optional<LogPosition> LocalLog::propose(const std::string &record) {
  RecordHeader header;
  header.Length = static_cast<std::uint32_t>(record.size());
  header.Checksum = XXH3_64bits(record.data(), record.size());
  std::string bytes(sizeof header, '\0');
  std::memcpy(bytes.data(), &header, sizeof header);
  writeAll(File, bytes + record);
  if (::fdatasync(File) != 0) {
    std::abort();
  }
  const LogPosition position{NextIndex++, 1};
  Applied(position, record);
  return position;
}

} // namespace masticwinch::control
