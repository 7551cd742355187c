#include "masticwinch/http/internal/response_rules.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace masticwinch::internal {

namespace {

/// Headers that the server generates.
bool isManagedByServer(std::string_view name) {
  return equalHeaderNames(name, "Content-Length") ||
         equalHeaderNames(name, "Transfer-Encoding") ||
         equalHeaderNames(name, "Connection");
}

bool hasLineBreak(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return c == '\r' || c == '\n' || c == '\0';
  });
}

} // namespace

const char *reasonPhrase(std::uint16_t status) {
  switch (status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 202:
    return "Accepted";
  case 204:
    return "No Content";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 408:
    return "Request Timeout";
  case 409:
    return "Conflict";
  case 410:
    return "Gone";
  case 413:
    return "Payload Too Large";
  case 414:
    return "URI Too Long";
  case 422:
    return "Unprocessable Content";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool isSendableHeader(const HttpHeader &line) {
  return !line.Name.empty() && !isManagedByServer(line.Name) &&
         !hasLineBreak(line.Name) && !hasLineBreak(line.Value);
}

std::string serializeFinalResponse(const HttpResponse &response) {
  std::string text = fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: {}\r\n",
      response.Status, reasonPhrase(response.Status), response.Body.size());
  for (const HttpHeader &it : response.Headers.lines()) {
    text += fmt::format("{}: {}\r\n", it.Name, it.Value);
  }
  return text + "\r\n" + response.Body;
}

HttpResponse parserErrorResponse(std::string_view error) {
  if (error == "HPE_CB_url") {
    return errorResponse(414, "target_too_long",
                         "the request target is longer than allowed");
  }
  if (error == "HPE_CB_header_field" || error == "HPE_CB_header_value" ||
      error == "HPE_HEADER_OVERFLOW") {
    return errorResponse(431, "headers_too_long",
                         "the headers are longer than allowed");
  }
  if (error == "HPE_CB_headers_complete" || error == "HPE_CB_body") {
    return errorResponse(413, "body_too_long",
                         "the body is longer than allowed");
  }
  return errorResponse(400, "malformed_request",
                       "the request is not well-formed HTTP/1.1");
}

} // namespace masticwinch::internal
