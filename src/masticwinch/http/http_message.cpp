#include "masticwinch/http/http_message.hpp"

#include "masticwinch/http/percent_encoding.hpp"

#include <nlohmann/json.hpp>
#include <strings.h>

namespace masticwinch {

bool equalHeaderNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void HttpHeaders::add(std::string name, std::string value) {
  Lines.push_back({std::move(name), std::move(value)});
}

std::size_t HttpHeaders::byteSize() const {
  std::size_t bytes = 0;
  for (const HttpHeader &it : Lines) {
    bytes += it.Name.size() + it.Value.size();
  }
  return bytes;
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const {
  for (const HttpHeader &it : Lines) {
    if (equalHeaderNames(it.Name, name)) {
      return it.Value;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
HttpRequest::queryValue(std::string_view name) const {
  std::string_view rest = Query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (percentDecode(pair.substr(0, equals)) != name) {
      continue;
    }
    return equals == std::string_view::npos
               ? std::string()
               : percentDecode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

HttpResponse jsonResponse(std::uint16_t status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse errorResponse(std::uint16_t status, std::string_view code,
                           std::string_view message, std::string_view field) {
  const nlohmann::ordered_json body = {
      {"code", code}, {"message", message}, {"field", field}};
  // External text may not be valid UTF-8.
  return jsonResponse(
      status,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
}

} // namespace masticwinch
