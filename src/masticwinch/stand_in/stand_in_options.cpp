#include "masticwinch/stand_in/stand_in_options.hpp"

#include "masticwinch/programs/daemon_options.hpp"

#include <fmt/format.h>

namespace masticwinch {

namespace {

constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;

} // namespace

HttpServerOptions standInServerOptions(const programs::HttpSettings &listen) {
  HttpServerOptions options = programs::serverOptions(listen);
  options.MaxBodyBytes = MaxBodyBytes;
  return options;
}

AnnouncerOptions standInAnnouncerOptions(const StandInSettings &settings,
                                         std::string_view collection,
                                         const nlohmann::json &details) {
  nlohmann::json body = {
      {"address",
       fmt::format("{}:{}", settings.Listen.Address, settings.Listen.Port)},
      {"data_center", settings.DataCenter},
      {"rack", settings.Rack}};
  body.update(details);
  return {settings.Entries, fmt::format("/v1/{}/{}", collection, settings.Name),
          std::move(body), settings.Renew};
}

} // namespace masticwinch
