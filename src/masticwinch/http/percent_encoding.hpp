#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticwinch {

/// Decodes `%XX` sequences; nothing if one of them is malformed. A plus sign
/// stays a plus sign.
std::optional<std::string> percentDecode(std::string_view text);

/// Encodes every byte except letters, digits and `-._~`, so that the result
/// fits into one segment of a path or one value of a query.
std::string percentEncode(std::string_view text);

} // namespace masticwinch
