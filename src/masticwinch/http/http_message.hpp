#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// A header field; names are case-insensitive.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Compares header names case-insensitively.
bool equalHeaderNames(std::string_view a, std::string_view b);

/// Header fields in order of insertion.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> lines) : Lines(lines) {}

  /// Appends a field; earlier ones of the same name are kept.
  void add(std::string name, std::string value);

  /// Value of the first field with that name.
  std::optional<std::string_view> find(std::string_view name) const;

  const std::vector<HttpHeader> &lines() const { return Lines; }

  /// Size of all names and values.
  std::size_t byteSize() const;

private:
  std::vector<HttpHeader> Lines;
};

/// A request as received by a server.
struct HttpRequest {
  std::string Method;
  /// Path without the query, as sent. Percent sequences are valid but not
  /// decoded, so that an encoded slash doesn't split a segment.
  std::string Path;
  /// Query string without the question mark, as sent.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;

  /// Percent-decoded value of the first query parameter with that name;
  /// `nullopt` if it is missing or malformed.
  std::optional<std::string> queryValue(std::string_view name) const;
};

/// A complete response.
struct HttpResponse {
  std::uint16_t Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// Creates a response with a JSON body.
HttpResponse jsonResponse(std::uint16_t status, std::string body);

/// Creates an error response with the body `{"code":…,"message":…,"field":…}`.
HttpResponse errorResponse(std::uint16_t status, std::string_view code,
                           std::string_view message,
                           std::string_view field = "");

} // namespace masticwinch
