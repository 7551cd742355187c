#pragma once

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}

namespace masticwinch::operators {

/// Reads a message from JSON with the field names of the .proto files. Returns
/// an empty string, or what is wrong with the text; unknown fields are wrong.
std::string parseJson(std::string_view text,
                      google::protobuf::Message &message);

/// Writes a message as JSON with all its fields.
std::string toJson(const google::protobuf::Message &message);

} // namespace masticwinch::operators
