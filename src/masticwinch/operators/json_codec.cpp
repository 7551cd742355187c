#include "masticwinch/operators/json_codec.hpp"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace masticwinch::operators {

std::string parseJson(std::string_view text,
                      google::protobuf::Message &message) {
  google::protobuf::util::JsonParseOptions options;
  options.case_insensitive_enum_parsing = true;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {text.data(), text.size()}, &message, options);
  return status.ok() ? std::string() : std::string(status.message());
}

std::string toJson(const google::protobuf::Message &message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  return status.ok() ? text : std::string("{}");
}

} // namespace masticwinch::operators
