#include "tests/storage/refusing_disk.hpp"

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>

namespace masticwinch::testing {

namespace {

std::optional<RefusingDisk::Refused> Current;

bool isRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

int refuse() {
  errno = ENOSPC;
  return -1;
}

} // namespace

RefusingDisk::RefusingDisk(Refused refused) { Current = refused; }

RefusingDisk::~RefusingDisk() { Current.reset(); }

} // namespace masticwinch::testing

// Replace the functions of the C library in the test program.
extern "C" {

ssize_t write(int descriptor, const void *bytes, std::size_t size) {
  using masticwinch::testing::Current;
  if (Current && masticwinch::testing::isRegularFile(descriptor)) {
    size = std::min(size, Current->BytesLeft);
    if (size == 0) {
      return masticwinch::testing::refuse();
    }
    Current->BytesLeft -= size;
  }
  return ::syscall(SYS_write, descriptor, bytes, size);
}

int ftruncate(int descriptor, off_t size) noexcept {
  if (masticwinch::testing::Current &&
      masticwinch::testing::Current->Truncates) {
    return masticwinch::testing::refuse();
  }
  return static_cast<int>(::syscall(SYS_ftruncate, descriptor, size));
}

int fdatasync(int descriptor) {
  if (masticwinch::testing::Current && masticwinch::testing::Current->Syncs) {
    return masticwinch::testing::refuse();
  }
  return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}
}
