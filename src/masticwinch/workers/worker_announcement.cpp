#include "masticwinch/workers/worker_announcement.hpp"

#include "masticwinch/protocol/placement.pb.h"
#include "masticwinch/workers/json_integers.hpp"

#include <nlohmann/json.hpp>

namespace masticwinch::workers {

namespace {

using Json = nlohmann::json;
using cell::FieldError;

void fill(const Json &json, protocol::WorkerAnnouncement &announcement) {
  announcement.set_incarnation(integerAt<std::uint64_t>(json, "incarnation"));
  announcement.set_address(json.at("address").get<std::string>());
  announcement.set_data_center(json.value("data_center", ""));
  announcement.set_rack(json.value("rack", ""));
  announcement.set_news(integerOr<std::uint64_t>(json, "news", 0));
  protocol::Resources &capacity = *announcement.mutable_capacity();
  capacity.set_milli_processors(
      integerAt<std::int64_t>(json, "milli_processors"));
  capacity.set_memory_mib(integerAt<std::int64_t>(json, "memory_mib"));
  capacity.set_accelerators(integerOr<std::int64_t>(json, "accelerators", 0));
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
  } catch (const std::exception &error) {
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
