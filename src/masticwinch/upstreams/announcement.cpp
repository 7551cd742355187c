#include "masticwinch/upstreams/announcement.hpp"

#include <charconv>

namespace masticwinch::upstreams {

namespace {

bool isHostAndPort(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      address.find('/') != std::string_view::npos) {
    return false;
  }
  const std::string_view port = address.substr(colon + 1);
  std::uint16_t number = 0;
  const char *end = port.data() + port.size();
  const auto [last, ec] = std::from_chars(port.data(), end, number);
  return ec == std::errc() && last == end && number != 0;
}

} // namespace

std::optional<cell::FieldError>
checkAnnouncement(const protocol::Upstream &upstream) {
  using cell::FieldError;
  if (auto problem = cell::checkName("name", upstream.name())) {
    return problem;
  }
  if (auto problem = cell::checkName("service", upstream.service())) {
    return problem;
  }
  if (upstream.incarnation() == 0) {
    return FieldError{"incarnation", "must be above 0"};
  }
  if (!isHostAndPort(upstream.address())) {
    return FieldError{"address", "must be HOST:PORT"};
  }
  if (upstream.slots() == 0 || upstream.slots() > MaxSlots) {
    return FieldError{"slots", "must be from 1 to 1024"};
  }
  if (upstream.connections() < upstream.slots() ||
      upstream.connections() > MaxConnections) {
    return FieldError{"connections", "must be from slots to 65536"};
  }
  return std::nullopt;
}

} // namespace masticwinch::upstreams
