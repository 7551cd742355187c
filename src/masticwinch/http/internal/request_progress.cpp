#include "masticwinch/http/internal/request_progress.hpp"

namespace masticwinch::internal {

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
    it.on_headers_complete = [](http_parser *parser) {
      progressOf(parser).Part = RequestPart::Body;
      return 0;
    };
    it.on_message_complete = [](http_parser *parser) {
      progressOf(parser).Part = RequestPart::None;
      ++progressOf(parser).WholeRequests;
      // Each request is parsed anew, whatever the former one says about the
      // connection.
      http_parser_pause(parser, 1);
      return 0;
    };
    return it;
  }();
  return Settings;
}

void RequestProgress::reset() {
  http_parser_init(&Parser, HTTP_REQUEST);
  Parser.data = this;
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
