#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

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

  /// Bytes that the unfinished request takes where it is stored, at most: text
  /// in buffers that may be twice as large, and a record for each field and for
  /// each chunk of the body.
  std::size_t heldBytes() const;

  /// The same of the requests that have arrived whole since the last call, with
  /// their copies for the handler.
  std::vector<std::size_t> takeWholeBytes() {
    return std::exchange(WholeBytes, {});
  }

private:
  static const http_parser_settings &settings();
  static RequestProgress &progressOf(http_parser *parser);
  static int addText(http_parser *parser, const char *text, std::size_t size);
  void reset();

  http_parser Parser{};
  std::uint64_t WholeRequests = 0;
  RequestPart Part = RequestPart::None;
  bool Malformed = false;
  std::size_t TextBytes = 0;
  std::size_t Fields = 0;
  std::size_t Chunks = 0;
  bool InFieldName = false;
  std::vector<std::size_t> WholeBytes;
};

} // namespace masticwinch::internal
