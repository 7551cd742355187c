#pragma once

#include "masticwinch/http/http_client.hpp"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace masticwinch::internal {

/// An HTTP call and its libcurl easy handle.
class CurlCall {
public:
  CurlCall(HttpCallId id, HttpCall call, HttpCallDone done);
  CurlCall(const CurlCall &) = delete;
  CurlCall &operator=(const CurlCall &) = delete;

  /// Configures the handle. Returns false if the URL, method or a header
  /// contains control characters, the method or a header name is empty, or
  /// libcurl can't allocate the handle or the header list.
  bool prepare();

  /// Returns the call that owns the handle.
  static CurlCall *fromHandle(CURL *handle);

  HttpCallId id() const { return Id; }
  CURL *handle() const { return Handle.get(); }

  /// Whether any byte of the request may have been sent.
  bool mayHaveBeenSent() const;

  /// Builds the result from libcurl's code and the received response.
  HttpCallResult result(CURLcode code);

  HttpCallDone takeDone() { return std::move(Done); }

private:
  using HandlePointer = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
  using ListPointer =
      std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

  static std::size_t onRead(char *buffer, std::size_t size, std::size_t count,
                            void *self);
  static std::size_t onBody(char *data, std::size_t size, std::size_t count,
                            void *self);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t count,
                              void *self);

  bool isWellFormed() const;
  bool setHeaders();
  void setMethod();
  void addHeaderLine(std::string_view line);
  bool isBodyComplete() const;
  HttpOutcome outcomeOf(CURLcode code) const;

  const HttpCallId Id;
  const HttpCall Call;
  HttpCallDone Done;
  HandlePointer Handle;
  ListPointer HeaderList;
  /// Bytes of the request's body that libcurl has read.
  std::size_t BodyBytesRead = 0;
  HttpResponse Response;
  std::size_t HeaderBytes = 0;
  bool TooLong = false;
};

} // namespace masticwinch::internal
