#include "masticwinch/http/internal/request_progress.hpp"

namespace masticwinch::internal {

namespace {

/// RESTinio's records, in lists that may be twice as long as they are filled.
constexpr std::size_t ChunkRecordBytes = 32;
constexpr std::size_t FieldRecordBytes = 160;
/// A field in `HttpHeaders`.
constexpr std::size_t FieldCopyBytes = 80;

} // namespace

RequestProgress &RequestProgress::progressOf(http_parser *parser) {
  return *static_cast<RequestProgress *>(parser->data);
}

const http_parser_settings &RequestProgress::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_message_begin = [](http_parser *parser) {
      progressOf(parser).Part = RequestPart::Head;
      return 0;
    };
    it.on_url = addText;
    it.on_header_field = [](http_parser *parser, const char *text,
                            std::size_t size) {
      RequestProgress &progress = progressOf(parser);
      progress.Fields += progress.InFieldName ? 0 : 1;
      progress.InFieldName = true;
      return addText(parser, text, size);
    };
    it.on_header_value = [](http_parser *parser, const char *text,
                            std::size_t size) {
      progressOf(parser).InFieldName = false;
      return addText(parser, text, size);
    };
    it.on_body = addText;
    it.on_chunk_header = [](http_parser *parser) {
      ++progressOf(parser).Chunks;
      return 0;
    };
    it.on_headers_complete = [](http_parser *parser) {
      progressOf(parser).Part = RequestPart::Body;
      return 0;
    };
    it.on_message_complete = [](http_parser *parser) {
      RequestProgress &progress = progressOf(parser);
      progress.Part = RequestPart::None;
      ++progress.WholeRequests;
      progress.WholeBytes.push_back(progress.heldBytes() + progress.TextBytes +
                                    FieldCopyBytes * progress.Fields);
      // Each request is parsed anew, whatever the former one says about the
      // connection.
      http_parser_pause(parser, 1);
      return 0;
    };
    return it;
  }();
  return Settings;
}

int RequestProgress::addText(http_parser *parser, const char *,
                             std::size_t size) {
  progressOf(parser).TextBytes += size;
  return 0;
}

std::size_t RequestProgress::heldBytes() const {
  return 2 * TextBytes + FieldRecordBytes * Fields + ChunkRecordBytes * Chunks;
}

void RequestProgress::reset() {
  http_parser_init(&Parser, HTTP_REQUEST);
  Parser.data = this;
  TextBytes = 0;
  Fields = 0;
  Chunks = 0;
  InFieldName = false;
}

void RequestProgress::receive(std::string_view bytes) {
  Parser.data = this;
  while (!bytes.empty() && !Malformed) {
    const std::uint64_t before = WholeRequests;
    const std::size_t parsed =
        http_parser_execute(&Parser, &settings(), bytes.data(), bytes.size());
    if (WholeRequests != before) {
      reset();
    } else if (HTTP_PARSER_ERRNO(&Parser) != HPE_OK) {
      Malformed = true;
    }
    bytes.remove_prefix(parsed);
  }
}

} // namespace masticwinch::internal
