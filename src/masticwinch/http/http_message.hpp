#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// One header line; names compare without regard to case.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Whether two header names are the same but for case.
bool equalHeaderNames(std::string_view a, std::string_view b);

/// Header lines in their order.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> lines) : Lines(lines) {}

  /// Adds a line; an earlier one of the same name stays.
  void add(std::string name, std::string value);

  /// Value of the first line of that name.
  std::optional<std::string_view> find(std::string_view name) const;

  const std::vector<HttpHeader> &lines() const { return Lines; }

private:
  std::vector<HttpHeader> Lines;
};

/// A request as a server receives it.
struct HttpRequest {
  std::string Method;
  /// Path without the query, as sent: its percent sequences are well-formed and
  /// not decoded, so that an encoded slash stays within its segment.
  std::string Path;
  /// Query string without the question mark, as sent.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;

  /// Value of the first query parameter of that name, percent-decoded; nothing
  /// if it is missing or malformed.
  std::optional<std::string> queryValue(std::string_view name) const;
};

/// An answer, whole.
struct HttpResponse {
  std::uint16_t Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// An answer with a JSON body.
HttpResponse jsonResponse(std::uint16_t status, std::string body);

/// An answer that states an error as `{"code":…,"message":…,"field":…}`.
HttpResponse errorResponse(std::uint16_t status, std::string_view code,
                           std::string_view message,
                           std::string_view field = "");

} // namespace masticwinch
