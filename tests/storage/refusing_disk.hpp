#pragma once

#include <cstddef>

namespace masticwinch::testing {

/// Lets the file operations of this process fail as on a full disk, as long as
/// the object exists. Only one may exist at a time.
class RefusingDisk {
public:
  struct Refused {
    /// Bytes that are still written before writes are refused.
    std::size_t BytesLeft = 0;
    bool Truncates = false;
    bool Syncs = false;
  };

  explicit RefusingDisk(Refused refused);
  ~RefusingDisk();
  RefusingDisk(const RefusingDisk &) = delete;
  RefusingDisk &operator=(const RefusingDisk &) = delete;
};

} // namespace masticwinch::testing
