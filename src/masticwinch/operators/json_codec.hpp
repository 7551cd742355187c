#pragma once

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}

namespace masticwinch::operators {

/// Parses JSON with the field names of the .proto files into a message. Returns
/// an empty string on success, otherwise an error message. Unknown fields are
/// errors.
std::string parseJson(std::string_view text,
                      google::protobuf::Message &message);

/// Serialises a message as JSON, including fields with default values.
std::string toJson(const google::protobuf::Message &message);

} // namespace masticwinch::operators
