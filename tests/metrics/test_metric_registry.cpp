#include "masticwinch/events/event_log.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/metrics/process_metrics.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/peers/mailbox_metrics.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>
#include <vector>

using namespace masticwinch;

TEST_CASE("The text format contains help, type and labels", "[metrics]") {
  MetricRegistry registry;
  registry.counter({"b_total", "Said \\ so.", {{"class", "a\"b\\c\n"}}}).add(3);
  registry.gauge({"a_bytes", "Level."}).set(1.5);
  registry.observedGauge({"c", "Read late."}, [] { return 12345678.0; });
  CHECK(registry.text() == "# HELP a_bytes Level.\n"
                           "# TYPE a_bytes gauge\n"
                           "a_bytes 1.5\n"
                           "# HELP b_total Said \\\\ so.\n"
                           "# TYPE b_total counter\n"
                           "b_total{class=\"a\\\"b\\\\c\\n\"} 3\n"
                           "# HELP c Read late.\n"
                           "# TYPE c gauge\n"
                           "c 12345678\n");
}

TEST_CASE("Histogram buckets are cumulative and end at infinity", "[metrics]") {
  MetricRegistry registry;
  Histogram &histogram =
      registry.histogram({"wait_seconds", "Wait."}, {0.01, 100, 4});
  for (double value : {0.0, 0.05, 5.0, 1000.0}) {
    histogram.record(value);
  }
  CHECK(registry.text() == "# HELP wait_seconds Wait.\n"
                           "# TYPE wait_seconds histogram\n"
                           "wait_seconds_bucket{le=\"0.01\"} 1\n"
                           "wait_seconds_bucket{le=\"0.1\"} 2\n"
                           "wait_seconds_bucket{le=\"1\"} 2\n"
                           "wait_seconds_bucket{le=\"10\"} 3\n"
                           "wait_seconds_bucket{le=\"100\"} 3\n"
                           "wait_seconds_bucket{le=\"+Inf\"} 4\n"
                           "wait_seconds_sum 1005.05\n"
                           "wait_seconds_count 4\n");
}

TEST_CASE("Quantiles are bucket upper bounds", "[metrics]") {
  Histogram histogram({1, 10000, 4});
  CHECK(histogram.quantile(0.5) == 0);
  for (int i = 0; i < 99; ++i) {
    histogram.record(5);
  }
  histogram.record(1e9);
  CHECK(histogram.quantile(0.5) == Approx(10));
  CHECK(histogram.quantile(0.99) == Approx(10));
  CHECK(histogram.quantile(1) == Approx(10000));
}

TEST_CASE("A merged histogram contains the values of both", "[metrics]") {
  Histogram first({1, 100, 2});
  Histogram second({1, 100, 2});
  first.record(2);
  second.record(50);
  first.merge(second);
  CHECK(first.count() == 2);
  CHECK(first.sum() == Approx(52));
  CHECK(first.quantile(1) == Approx(100));
}

TEST_CASE("A metric is created once and keeps its type", "[metrics]") {
  MetricRegistry registry;
  Counter &counter = registry.counter({"a_total", "A."});
  CHECK(&counter == &registry.counter({"a_total", "A."}));
  CHECK(&counter != &registry.counter({"a_total", "A.", {{"x", "1"}}}));
  CHECK_THROWS_AS(registry.gauge({"a_total", "A."}), std::logic_error);
  CHECK_THROWS_AS(registry.observedCounter({"a_total", "A."}, [] { return 0; }),
                  std::logic_error);
}

TEST_CASE("Concurrent updates are not lost", "[metrics]") {
  constexpr int Threads = 4;
  constexpr int Rounds = 10000;
  MetricRegistry registry;
  Counter &counter = registry.counter({"a_total", "A."});
  Histogram &histogram = registry.histogram({"b_seconds", "B."});
  Gauge &gauge = registry.gauge({"c", "C."});
  std::vector<std::thread> threads;
  for (int i = 0; i < Threads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < Rounds; ++n) {
        counter.add();
        histogram.record(0.5);
        gauge.add(1);
      }
    });
  }
  for (std::thread &it : threads) {
    it.join();
  }
  CHECK(counter.value() == Threads * Rounds);
  CHECK(histogram.count() == Threads * Rounds);
  CHECK(histogram.sum() == Approx(0.5 * Threads * Rounds));
  CHECK(gauge.value() == Threads * Rounds);
}

TEST_CASE("A process reports its resource usage", "[metrics]") {
  MetricRegistry registry;
  registerProcessMetrics(registry);
  const std::string text = registry.text();
  CHECK(readProcessUsage().ResidentBytes > 0);
  CHECK(text.find("\nprocess_cpu_seconds_total ") != std::string::npos);
  CHECK(text.find("\nprocess_resident_memory_bytes ") != std::string::npos);
}

TEST_CASE("A mailbox exports its traffic", "[metrics]") {
  const OperatingSystemClock clock;
  EventLog events({"p", 1, "/dev/null"}, clock);
  peers::Mailbox mailbox(
      {"cell", "p", 1, "tcp://127.0.0.1:0"}, [](const protocol::Envelope &) {},
      events);
  MetricRegistry registry;
  peers::registerMailboxMetrics(registry, mailbox);
  mailbox.send("tcp://127.0.0.1:1", {});
  const peers::MailboxTraffic traffic = mailbox.traffic();
  CHECK(traffic.SentMessages + traffic.DroppedMessages == 1);
  CHECK(registry.text().find("\nmasticwinch_messages_sent_bytes_total " +
                             std::to_string(traffic.SentBytes) + "\n") !=
        std::string::npos);
}
