#pragma once

#include "masticwinch/coordination/cell/spec_validation.hpp"

#include <optional>
#include <string>

namespace masticwinch::protocol {
class WorkerAnnouncement;
} // namespace masticwinch::protocol

namespace masticwinch::workers {

/// Parses the body of a worker's announcement; returns the first error, if any.
std::optional<cell::FieldError>
readAnnouncement(const std::string &body, const std::string &name,
                 protocol::WorkerAnnouncement &announcement);

} // namespace masticwinch::workers
