#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticwinch {

/// Decodes `%XX` sequences; `nullopt` if one of them is malformed. A plus sign
/// is not decoded to a space.
std::optional<std::string> percentDecode(std::string_view text);

/// Encodes every byte except letters, digits and `-._~`, so that the result
/// can be used as a path segment or query value.
std::string percentEncode(std::string_view text);

} // namespace masticwinch
