#include "masticwinch/operators/request_id.hpp"

#include <fmt/format.h>

#include <random>

namespace masticwinch::operators {

std::string randomRequestId() {
  std::random_device source;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    id += fmt::format("{:08x}", source());
  }
  return id;
}

} // namespace masticwinch::operators
