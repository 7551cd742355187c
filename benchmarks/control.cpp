#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "benchmarks/capacity_measure.hpp"
#include "benchmarks/control_group.hpp"
#include <algorithm>
#include <memory>

using namespace masticwinch;
using benchmark::BenchReplica;
using benchmark::Workload;

namespace {

constexpr std::size_t ManyClients = 64;

/// Returns a loopback address on which nothing listens at present.
std::string freeAddress() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr *>(&address), length);
  ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
  ::close(socket);
  return "tcp://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A set of replicas with new data folders.
class ReplicaSet {
public:
  ReplicaSet(const std::string &folder, std::size_t count) {
    std::filesystem::create_directories(folder);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
      addresses.push_back(freeAddress());
    }
    for (std::size_t i = 0; i < count; ++i) {
      Replicas.push_back(std::make_unique<BenchReplica>(folder, addresses, i));
    }
    for (const auto &it : Replicas) {
      it->start();
    }
  }

  BenchReplica &leader() {
    while (true) {
      for (const auto &it : Replicas) {
        if (it->isLeader()) {
          return *it;
        }
      }
      std::this_thread::yield();
    }
  }

private:
  std::vector<std::unique_ptr<BenchReplica>> Replicas;
};

double percentile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * values.size()))];
}

void measure(const std::string &name, BenchReplica &leader,
             const Workload &workload) {
  constexpr double MicrosecondsPerMillisecond = 1000;
  const SteadyTime begin = BootClock::now();
  const std::vector<double> latencies = leader.run(workload);
  const std::chrono::duration<double> time = BootClock::now() - begin;
  capacity::printFigure(name + "_commits",
                        double(latencies.size()) / time.count(), "per_second");
  capacity::printFigure(name + "_commit_p50",
                        percentile(latencies, 0.5) / MicrosecondsPerMillisecond,
                        "ms");
  capacity::printFigure(
      name + "_commit_p99",
      percentile(latencies, 0.99) / MicrosecondsPerMillisecond, "ms");
}

void measureCommits(const std::string &folder, const std::string &name,
                    std::size_t replicas) {
  ReplicaSet group(folder + "/" + name, replicas);
  BenchReplica &leader = group.leader();
  measure(name + "_one_client", leader, {1, 500});
  measure(name + "_64_clients", leader, {ManyClients, 20'000});
}

/// Measures the time from opening the data folder until the replica leads,
/// after `commits` commits.
void measureRecovery(const std::string &folder, std::size_t commits) {
  const std::string name = "recovery_after_" + std::to_string(commits);
  const std::string path = folder + "/" + name;
  {
    ReplicaSet group(path, 1);
    group.leader().run({ManyClients, commits});
  }
  const SteadyTime begin = BootClock::now();
  ReplicaSet group(path, 1);
  group.leader();
  const std::chrono::duration<double, std::milli> time =
      BootClock::now() - begin;
  capacity::printFigure(name, time.count(), "ms");
}

} // namespace

/// Measures commits of replicated and unreplicated synced logs, and recovery.
/// Must be run from the source folder; the logs are written to its build
/// folder.
int main() {
  std::string folder = "build/bench-control-XXXXXX";
  if (!::mkdtemp(folder.data())) {
    return 1;
  }
  measureCommits(folder, "unreplicated", 1);
  measureCommits(folder, "three_replicas", 3);
  measureCommits(folder, "five_replicas", 5);
  measureRecovery(folder, 1'000);
  measureRecovery(folder, 100'000);
  std::filesystem::remove_all(folder);
  return 0;
}
