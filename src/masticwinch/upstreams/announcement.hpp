#pragma once

#include "masticwinch/coordination/cell/spec_validation.hpp"

namespace masticwinch::upstreams {

/// Limits for the values in an upstream's announcement.
inline constexpr std::uint32_t MaxSlots = 1024;
inline constexpr std::uint32_t MaxConnections = 65'536;

/// Validates an announcement: names, `host:port` address, slots and
/// connections.
std::optional<cell::FieldError>
checkAnnouncement(const protocol::Upstream &upstream);

} // namespace masticwinch::upstreams
