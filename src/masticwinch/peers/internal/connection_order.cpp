#include "masticwinch/peers/internal/connection_order.hpp"

namespace masticwinch::peers::internal {

bool ConnectionOrder::opened(const ConnectionId &connection) {
  if (!isLatest(connection)) {
    return false;
  }
  const auto known = Latest.find(connection.Sender);
  if (known != Latest.end()) {
    known->second.Number = connection.Number;
    ByAge.splice(ByAge.end(), ByAge, known->second.Position);
    return true;
  }
  if (Latest.size() >= MaxSenders) {
    Latest.erase(ByAge.front());
    ByAge.pop_front();
  }
  ByAge.push_back(connection.Sender);
  Latest[connection.Sender] = {connection.Number, std::prev(ByAge.end())};
  return true;
}

bool ConnectionOrder::isLatest(const ConnectionId &connection) const {
  const auto known = Latest.find(connection.Sender);
  return known == Latest.end() || known->second.Number <= connection.Number;
}

} // namespace masticwinch::peers::internal
