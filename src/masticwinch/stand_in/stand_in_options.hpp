#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/stand_in/announcer.hpp"
#include "masticwinch/stand_in/stand_in_settings.hpp"

#include <string_view>

namespace masticwinch {

/// Returns the options of a stand-in's HTTP server.
HttpServerOptions standInServerOptions(const programs::HttpSettings &listen);

/// Returns the options of a stand-in's announcer. `collection` is `upstreams`
/// or `workers`; `details` are merged into the fields that all announcements
/// have.
AnnouncerOptions standInAnnouncerOptions(const StandInSettings &settings,
                                         std::string_view collection,
                                         const nlohmann::json &details);

} // namespace masticwinch
