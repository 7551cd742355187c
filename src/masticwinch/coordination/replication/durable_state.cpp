#include "masticwinch/coordination/replication/durable_state.hpp"

#include <xxhash.h>

namespace masticwinch::replication {

std::uint64_t snapshotChecksum(const std::string &data) {
  return XXH3_64bits(data.data(), data.size());
}

} // namespace masticwinch::replication
