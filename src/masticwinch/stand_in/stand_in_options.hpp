#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/stand_in/announcer.hpp"
#include "masticwinch/stand_in/stand_in_settings.hpp"

#include <string_view>

namespace masticwinch {

/// Options of an HTTP server of a stand-in.
HttpServerOptions standInServerOptions(const programs::HttpSettings &listen);

/// Options of a stand-in's announcer. `collection` is `upstreams` or `workers`;
/// `details` are added to what every announcement has.
AnnouncerOptions standInAnnouncerOptions(const StandInSettings &settings,
                                         std::string_view collection,
                                         const nlohmann::json &details);

} // namespace masticwinch
