#include "masticwinch/workers/worker_announcement.hpp"

#include "masticwinch/protocol/placement.pb.h"

#include <nlohmann/json.hpp>

namespace masticwinch::workers {

namespace {

using Json = nlohmann::json;
using cell::FieldError;

void fill(const Json &json, protocol::WorkerAnnouncement &announcement) {
  announcement.set_incarnation(json.at("incarnation").get<std::uint64_t>());
  announcement.set_address(json.at("address").get<std::string>());
  announcement.set_data_center(json.value("data_center", ""));
  announcement.set_rack(json.value("rack", ""));
  announcement.set_news(json.value("news", std::uint64_t{0}));
  protocol::Resources &capacity = *announcement.mutable_capacity();
  capacity.set_milli_processors(
      json.at("milli_processors").get<std::int64_t>());
  capacity.set_memory_mib(json.at("memory_mib").get<std::int64_t>());
  capacity.set_accelerators(json.value("accelerators", std::int64_t{0}));
}

} // namespace

std::optional<FieldError>
readAnnouncement(const std::string &body, const std::string &name,
                 protocol::WorkerAnnouncement &announcement) {
  announcement.set_name(name);
  if (auto problem = cell::checkName("name", name)) {
    return problem;
  }
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return FieldError{"body", "is not a JSON object"};
  }
  try {
    fill(json, announcement);
  } catch (const Json::exception &error) {
    return FieldError{"body", error.what()};
  }
  if (announcement.incarnation() == 0) {
    return FieldError{"incarnation", "must be above 0"};
  }
  if (announcement.address().find(':') == std::string::npos) {
    return FieldError{"address", "must be HOST:PORT"};
  }
  return cell::checkResources("capacity", announcement.capacity());
}

} // namespace masticwinch::workers
