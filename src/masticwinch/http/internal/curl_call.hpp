#pragma once

#include "masticwinch/http/http_client.hpp"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace masticwinch::internal {

/// One call and its libcurl handle.
class CurlCall {
public:
  CurlCall(HttpCallId id, HttpCall call, HttpCallDone done);
  CurlCall(const CurlCall &) = delete;
  CurlCall &operator=(const CurlCall &) = delete;

  /// Sets the handle up; false if the call has line breaks where they don't
  /// belong or libcurl refuses an option.
  bool prepare();

  /// The call that a handle belongs to.
  static CurlCall *of(CURL *handle);

  HttpCallId id() const { return Id; }
  CURL *handle() const { return Handle.get(); }

  /// Whether any byte of the request may have left.
  bool mayHaveBeenSent() const;

  /// How the call ended, from libcurl's code and what was received.
  HttpCallResult result(CURLcode code);

  HttpCallDone takeDone() { return std::move(Done); }

private:
  using HandlePointer = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
  using ListPointer =
      std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

  static std::size_t onBody(char *data, std::size_t size, std::size_t count,
                            void *self);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t count,
                              void *self);

  bool isWellFormed() const;
  bool setHeaders();
  void setMethod();
  void takeHeader(std::string_view line);
  bool isBodyWhole() const;
  HttpOutcome outcomeOf(CURLcode code) const;

  const HttpCallId Id;
  const HttpCall Call;
  HttpCallDone Done;
  HandlePointer Handle;
  ListPointer HeaderList;
  HttpResponse Response;
  std::size_t HeaderBytes = 0;
  bool TooLong = false;
};

} // namespace masticwinch::internal
