#include "masticwinch/markup/escape_markup.hpp"

namespace masticwinch {

std::string escapeMarkup(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
    case '<':
      out += "&lt;";
      break;
    case '&':
      out += "&amp;";
      break;
    case '"':
      out += "&quot;";
      break;
    default:
      out += c;
    }
  }
  return out;
}

} // namespace masticwinch
