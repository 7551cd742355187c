#include "masticwinch/http/internal/curl_call.hpp"

#include <algorithm>
#include <charconv>

namespace masticwinch::internal {

namespace {

constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;
/// Shorter than the idle timeout of servers, so that a request is rarely sent
/// on a connection that the server is closing.
constexpr long MaxIdleSeconds = 30;

bool hasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < ' ' && c != '\t') || c == 0x7f;
  });
}

/// Headers that libcurl generates.
bool isManagedByCurl(std::string_view name) {
  return equalHeaderNames(name, "Content-Length") ||
         equalHeaderNames(name, "Transfer-Encoding") ||
         equalHeaderNames(name, "Connection") ||
         equalHeaderNames(name, "Expect");
}

std::string_view trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t\r\n");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

std::optional<std::size_t> parseLength(std::string_view text) {
  std::size_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

CurlCall::CurlCall(HttpCallId id, HttpCall call, HttpCallDone done)
    : Id(id), Call(std::move(call)), Done(std::move(done)),
      Handle(curl_easy_init(), &curl_easy_cleanup),
      HeaderList(nullptr, &curl_slist_free_all) {}

CurlCall *CurlCall::fromHandle(CURL *handle) {
  CurlCall *call = nullptr;
  curl_easy_getinfo(handle, CURLINFO_PRIVATE, &call);
  return call;
}

bool CurlCall::isWellFormed() const {
  const auto &lines = Call.Headers.lines();
  return !hasControlCharacter(Call.Url) && !hasControlCharacter(Call.Method) &&
         !Call.Method.empty() &&
         std::none_of(lines.begin(), lines.end(), [](const HttpHeader &it) {
           return it.Name.empty() || hasControlCharacter(it.Name) ||
                  hasControlCharacter(it.Value);
         });
}

bool CurlCall::prepare() {
  CURL *easy = Handle.get();
  if (easy == nullptr || !isWellFormed() || !setHeaders()) {
    return false;
  }
  const auto timeout = std::max<Milliseconds>(Call.Timeout, Milliseconds(1));
  const auto connect =
      std::max<Milliseconds>(Call.ConnectTimeout, Milliseconds(1));
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(connect.count()));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, Call.FreshConnection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, Call.FreshConnection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  setMethod();
  return true;
}

bool CurlCall::setHeaders() {
  const auto append = [this](const std::string &line) {
    curl_slist *extended = curl_slist_append(HeaderList.get(), line.c_str());
    if (extended == nullptr) {
      return false;
    }
    HeaderList.release();
    HeaderList.reset(extended);
    return true;
  };
  // A name without a value removes the header that libcurl adds by default.
  bool added = append("Expect:") && append("Accept:");
  if (!Call.Headers.find("Content-Type")) {
    added = added && append("Content-Type:");
  }
  for (const HttpHeader &it : Call.Headers.lines()) {
    if (!isManagedByCurl(it.Name)) {
      const char *separator = it.Value.empty() ? ";" : ": ";
      added = added && append(it.Name + separator + it.Value);
    }
  }
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, HeaderList.get());
  return added;
}

void CurlCall::setMethod() {
  CURL *easy = Handle.get();
  if (Call.Method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (Call.Method == "GET" && Call.Body.empty()) {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    return;
  }
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Call.Body.size()));
  if (Call.SendBodyOnce) {
    // libcurl can't resend a body that it reads through a callback, as there is
    // no callback to rewind it.
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, &onRead);
    curl_easy_setopt(easy, CURLOPT_READDATA, this);
  } else {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, Call.Body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
}

std::size_t CurlCall::onRead(char *buffer, std::size_t size, std::size_t count,
                             void *self) {
  auto &call = *static_cast<CurlCall *>(self);
  const std::string_view rest =
      std::string_view(call.Call.Body).substr(call.BodyBytesRead);
  const std::size_t bytes = rest.copy(buffer, size * count);
  call.BodyBytesRead += bytes;
  return bytes;
}

std::size_t CurlCall::onBody(char *data, std::size_t size, std::size_t count,
                             void *self) {
  auto &call = *static_cast<CurlCall *>(self);
  const std::size_t bytes = size * count;
  if (call.Response.Body.size() + bytes > call.Call.MaxAnswerBytes) {
    call.TooLong = true;
    return 0;
  }
  call.Response.Body.append(data, bytes);
  return bytes;
}

std::size_t CurlCall::onHeader(char *data, std::size_t size, std::size_t count,
                               void *self) {
  auto &call = *static_cast<CurlCall *>(self);
  const std::size_t bytes = size * count;
  call.HeaderBytes += bytes;
  if (call.HeaderBytes > MaxResponseHeaderBytes) {
    call.TooLong = true;
    return 0;
  }
  call.addHeaderLine(std::string_view(data, bytes));
  return bytes;
}

void CurlCall::addHeaderLine(std::string_view line) {
  if (line.starts_with("HTTP/")) {
    // A status line starts a new header block: the final response may follow
    // an interim (1xx) one.
    Response.Headers = {};
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    Response.Headers.add(std::string(line.substr(0, colon)),
                         std::string(trim(line.substr(colon + 1))));
  }
}

bool CurlCall::mayHaveBeenSent() const {
  long sent = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0;
}

bool CurlCall::isBodyComplete() const {
  if (Call.Method == "HEAD" || Response.Status == 204 ||
      Response.Status == 304) {
    return Response.Body.empty();
  }
  if (const auto coding = Response.Headers.find("Transfer-Encoding")) {
    return equalHeaderNames(*coding, "chunked");
  }
  bool hasContentLength = false;
  for (const HttpHeader &it : Response.Headers.lines()) {
    if (equalHeaderNames(it.Name, "Content-Length")) {
      hasContentLength = true;
      if (parseLength(it.Value) != Response.Body.size()) {
        return false;
      }
    }
  }
  return hasContentLength;
}

HttpOutcome CurlCall::outcomeOf(CURLcode code) const {
  if (TooLong) {
    return HttpOutcome::TooLong;
  }
  switch (code) {
  case CURLE_OK:
    return Response.Status >= 200 && isBodyComplete() ? HttpOutcome::Answered
                                                      : HttpOutcome::Broken;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
  case CURLE_UNSUPPORTED_PROTOCOL:
    return mayHaveBeenSent() ? HttpOutcome::Broken : HttpOutcome::NotSent;
  case CURLE_OPERATION_TIMEDOUT:
    return mayHaveBeenSent() ? HttpOutcome::TimedOut : HttpOutcome::NotSent;
  default:
    return HttpOutcome::Broken;
  }
}

HttpCallResult CurlCall::result(CURLcode code) {
  long status = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &status);
  Response.Status = static_cast<std::uint16_t>(status);
  HttpCallResult result;
  result.Outcome = outcomeOf(code);
  result.MayHaveBeenSent = result.Outcome != HttpOutcome::NotSent;
  result.Response = std::move(Response);
  if (result.Outcome == HttpOutcome::TooLong) {
    result.Detail = "the answer is longer than allowed";
  } else if (code != CURLE_OK) {
    result.Detail = curl_easy_strerror(code);
  } else if (result.Outcome == HttpOutcome::Broken) {
    result.Detail = "the answer is not whole";
  }
  return result;
}

} // namespace masticwinch::internal
