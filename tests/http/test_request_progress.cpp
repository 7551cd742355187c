#include "masticwinch/http/internal/request_progress.hpp"

#include <catch2/catch.hpp>

using masticwinch::internal::RequestPart;
using masticwinch::internal::RequestProgress;

TEST_CASE("Progress names the part of a request that is arriving", "[http]") {
  RequestProgress progress;
  CHECK(progress.part() == RequestPart::None);
  progress.receive("\r\n");
  CHECK(progress.part() == RequestPart::None);
  progress.receive("P");
  CHECK(progress.part() == RequestPart::Head);
  progress.receive("OST / HTTP/1.1\r\nContent-Length: 2\r\n\r");
  CHECK(progress.part() == RequestPart::Head);
  progress.receive("\n");
  CHECK(progress.part() == RequestPart::Body);
  progress.receive("1");
  CHECK(progress.wholeRequests() == 0);
  progress.receive("2");
  CHECK(progress.part() == RequestPart::None);
  CHECK(progress.wholeRequests() == 1);
}

TEST_CASE("Progress counts pipelined requests in any pieces", "[http]") {
  const std::string one = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
                          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n1\r\nx\r\n0\r\n\r\n"
                          "GET / HTTP/1.1\r\nConnection: upgrade\r\n"
                          "Upgrade: websocket\r\n\r\n";
  const std::string bytes = one + one + "GET";
  const std::size_t piece = GENERATE(1, 3, 40, 1000);
  RequestProgress progress;
  for (std::size_t i = 0; i < bytes.size(); i += piece) {
    progress.receive(bytes.substr(i, piece));
  }
  CHECK(progress.wholeRequests() == 6);
  CHECK(progress.part() == RequestPart::Head);
}

TEST_CASE("Progress ignores bytes that are no request", "[http]") {
  RequestProgress progress;
  progress.receive("nonsense\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  CHECK(progress.wholeRequests() == 0);
}

TEST_CASE("Progress counts a request as it is stored", "[http]") {
  const std::string head = "POST / HTTP/1.1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  RequestProgress large;
  large.receive(head + "8\r\n12345678\r\n");
  RequestProgress small;
  small.receive(head);
  const std::size_t withoutBody = small.heldBytes();
  for (int i = 0; i < 8; ++i) {
    small.receive("1\r\nx\r\n");
  }
  CHECK(large.heldBytes() >= withoutBody + 8);
  CHECK(small.heldBytes() >= large.heldBytes() + 7 * 16);
  CHECK(small.takeWholeBytes().empty());
  small.receive("0\r\n\r\n");
  CHECK(small.heldBytes() == 0);
  const std::vector<std::size_t> whole = small.takeWholeBytes();
  REQUIRE(whole.size() == 1);
  CHECK(whole[0] > large.heldBytes());
  CHECK(small.takeWholeBytes().empty());
}

TEST_CASE("Progress counts a field once however it is cut", "[http]") {
  const std::string head = "GET / HTTP/1.1\r\nName: value\r\nOther: value\r\n";
  RequestProgress whole;
  whole.receive(head);
  RequestProgress cut;
  for (const char it : head) {
    cut.receive({&it, 1});
  }
  CHECK(cut.heldBytes() == whole.heldBytes());
}
