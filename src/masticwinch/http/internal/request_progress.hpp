#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string_view>

namespace masticwinch::internal {

/// Part of a request that is being received.
enum class RequestPart : std::uint8_t { None, Head, Body };

/// Follows the requests in the bytes of a connection: how many have arrived
/// whole, and which part of the next one has begun to. It has a parser of its
/// own, since that of RESTinio can't be asked.
class RequestProgress {
public:
  RequestProgress() { reset(); }

  /// Takes received bytes. Bytes that are no HTTP/1.1 are ignored, and so is
  /// what follows them.
  void receive(std::string_view bytes);

  std::uint64_t wholeRequests() const { return WholeRequests; }
  RequestPart part() const { return Part; }

private:
  static const http_parser_settings &settings();
  static RequestProgress &progressOf(http_parser *parser);
  void reset();

  http_parser Parser{};
  std::uint64_t WholeRequests = 0;
  RequestPart Part = RequestPart::None;
  bool Malformed = false;
};

} // namespace masticwinch::internal
