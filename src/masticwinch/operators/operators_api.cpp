#include "masticwinch/operators/operators_api.hpp"

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/operators/json_codec.hpp"
#include "masticwinch/operators/request_id.hpp"
#include "masticwinch/peers/cell_client.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <charconv>
#include <optional>

namespace masticwinch::operators {

namespace {

constexpr std::string_view RequestIdHeader = "Masticwinch-Request-Id";
constexpr std::string_view OperatorHeader = "Masticwinch-Operator";
constexpr std::string_view DefaultOperator = "anonymous";

std::uint16_t httpStatus(protocol::ResultCode code) {
  switch (code) {
  case protocol::ACCEPTED:
    return 200;
  case protocol::INVALID:
    return 400;
  case protocol::NOT_FOUND:
    return 404;
  case protocol::CONFLICT:
  case protocol::STALE:
    return 409;
  case protocol::RETIRED:
    return 410;
  case protocol::REQUEST_ID_REUSED:
    return 422;
  case protocol::LIMIT:
    return 429;
  default:
    return 500;
  }
}

std::string lowerCase(std::string text) {
  for (char &c : text) {
    c = (c >= 'A' && c <= 'Z') ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return text;
}

HttpResponse outcomeUnknownResponse() {
  return errorResponse(504, "unknown",
                       "no answer from the cell's leader in time; the change "
                       "may or may not take effect, send it again with the "
                       "same request id");
}

/// Version precondition of a change, from the query string.
struct ExpectedVersion {
  bool Any = true;
  std::uint64_t Version = 0;
};

/// Parses `expect_version`. Returns nullopt if it is not a number.
std::optional<ExpectedVersion> expectedVersion(const HttpRequest &request) {
  const auto text = request.queryValue("expect_version");
  if (!text) {
    return ExpectedVersion{};
  }
  ExpectedVersion expected{false, 0};
  const char *end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, expected.Version);
  if (ec != std::errc() || last != end) {
    return std::nullopt;
  }
  return expected;
}

void respondInvalidVersion(HttpExchange &exchange) {
  exchange.respond(errorResponse(400, "invalid",
                                 "expect_version must be a whole number",
                                 "expect_version"));
}

/// Parses the JSON body of a request into a message. Responds with 400 and
/// returns false if the body is malformed.
bool readBody(HttpExchange &exchange, google::protobuf::Message &message) {
  const std::string problem = parseJson(exchange.request().Body, message);
  if (problem.empty()) {
    return true;
  }
  exchange.respond(errorResponse(400, "invalid_json", problem, "body"));
  return false;
}

} // namespace

HttpResponse commandResponse(const protocol::CommandResult &result) {
  const std::uint16_t status = httpStatus(result.code());
  if (result.code() == protocol::ACCEPTED) {
    return jsonResponse(status, toJson(result));
  }
  HttpResponse response =
      errorResponse(status, lowerCase(protocol::ResultCode_Name(result.code())),
                    result.message(), result.field());
  response.Headers.add("Masticwinch-Version", std::to_string(result.version()));
  return response;
}

OperatorsApi::OperatorsApi(asio::io_context &control, peers::CellClient &client,
                           DaemonEndpoints endpoints)
    : Control(control), Client(client), Endpoints(std::move(endpoints)) {
  addDaemonRoutes();
  addProfiles();
  addVmsAndTeams();
  addJobs();
  addPlacement();
  addMembers();
}

OperatorsApi::~OperatorsApi() = default;

void OperatorsApi::addRoute(std::string method, std::string pattern,
                            Handler handler) {
  Routes.push_back({std::move(method), std::move(pattern), std::move(handler)});
}

void OperatorsApi::handle(const std::shared_ptr<HttpExchange> &exchange) {
  const HttpRequest &request = exchange->request();
  bool pathKnown = false;
  for (const Route &it : Routes) {
    RouteMatch match;
    if (!matchRoute(it.Pattern, request.Path, match)) {
      continue;
    }
    pathKnown = true;
    if (it.Method == request.Method) {
      asio::post(Control,
                 [&it, exchange, match] { it.Handle(exchange, match); });
      return;
    }
  }
  exchange->respond(
      pathKnown
          ? errorResponse(405, "method_not_allowed", "no such method here")
          : errorResponse(404, "not_found", "no such path"));
}

void OperatorsApi::addDaemonRoutes() {
  addRoute("GET", "/health", [this](const auto &exchange, const RouteMatch &) {
    const bool healthy = Endpoints.Healthy();
    exchange->respond(
        jsonResponse(healthy ? 200 : 503,
                     healthy ? R"({"healthy":true})" : R"({"healthy":false})"));
  });
  addRoute("GET", "/metrics", [this](const auto &exchange, const RouteMatch &) {
    exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       Endpoints.Metrics()});
  });
  addRoute("GET", "/v1/in-force",
           [this](const auto &exchange, const RouteMatch &) {
             protocol::QueryRequest request;
             request.mutable_in_force();
             query(exchange, std::move(request));
           });
}

void OperatorsApi::addProfiles() {
  addListing("/v1/profiles", "profile");
  addRoute("GET", "/v1/profiles/{}/history",
           [this](const auto &exchange, const RouteMatch &match) {
             protocol::QueryRequest request;
             request.mutable_profile_history()->set_name(match[0]);
             query(exchange, std::move(request));
           });
  addRoute("PUT", "/v1/profiles/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             const auto expected = expectedVersion(exchange->request());
             if (!expected) {
               respondInvalidVersion(*exchange);
               return;
             }
             protocol::Command command;
             protocol::PutProfile *put = command.mutable_put_profile();
             put->set_name(match[0]);
             put->set_any_version(expected->Any);
             put->set_expect_version(expected->Version);
             if (readBody(*exchange, *put->mutable_spec())) {
               submit(exchange, std::move(command));
             }
           });
  addRoute("DELETE", "/v1/profiles/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             const auto expected = expectedVersion(exchange->request());
             if (!expected) {
               respondInvalidVersion(*exchange);
               return;
             }
             protocol::Command command;
             protocol::RetireProfile *retire = command.mutable_retire_profile();
             retire->set_name(match[0]);
             retire->set_any_version(expected->Any);
             retire->set_expect_version(expected->Version);
             submit(exchange, std::move(command));
           });
}

void OperatorsApi::addVmsAndTeams() {
  addListing("/v1/teams", "team");
  addListing("/v1/upstreams", "upstream");
  addListing("/v1/entries", "entry");
  for (const bool draining : {true, false}) {
    addRoute("PUT", draining ? "/v1/vms/{}/drain" : "/v1/vms/{}/undrain",
             [this, draining](const auto &exchange, const RouteMatch &match) {
               protocol::Command command;
               protocol::VmPolicy *vm =
                   command.mutable_set_vm_policy()->mutable_vm();
               vm->set_name(match[0]);
               vm->set_draining(draining);
               submit(exchange, std::move(command));
             });
  }
  addRoute("PUT", "/v1/teams/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             protocol::Command command;
             protocol::Team *team = command.mutable_put_team()->mutable_team();
             if (readBody(*exchange, *team)) {
               team->set_name(match[0]);
               submit(exchange, std::move(command));
             }
           });
}

void OperatorsApi::addJobs() {
  addRoute("POST", "/v1/jobs",
           [this](const auto &exchange, const RouteMatch &) {
             protocol::Command command;
             if (readBody(*exchange,
                          *command.mutable_submit_job()->mutable_spec())) {
               submit(exchange, std::move(command));
             }
           });
  addRoute("DELETE", "/v1/jobs/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             protocol::Command command;
             command.mutable_cancel_job()->set_job(match[0]);
             submit(exchange, std::move(command));
           });
}

void OperatorsApi::addPlacement() {
  const auto queryJob = [this](const auto &exchange, const std::string &job) {
    protocol::QueryRequest request;
    request.mutable_jobs()->set_job(job);
    query(exchange, std::move(request));
  };
  const auto queryVm = [this](const auto &exchange, const std::string &vm) {
    protocol::QueryRequest request;
    request.mutable_vms()->set_vm(vm);
    query(exchange, std::move(request));
  };
  addRoute("GET", "/v1/jobs",
           [queryJob](const auto &exchange, const RouteMatch &) {
             queryJob(exchange, "");
           });
  addRoute("GET", "/v1/jobs/{}",
           [queryJob](const auto &exchange, const RouteMatch &it) {
             queryJob(exchange, it[0]);
           });
  addRoute("GET", "/v1/vms",
           [queryVm](const auto &exchange, const RouteMatch &) {
             queryVm(exchange, "");
           });
  addRoute("GET", "/v1/vms/{}",
           [queryVm](const auto &exchange, const RouteMatch &it) {
             queryVm(exchange, it[0]);
           });
}

void OperatorsApi::addMembers() {
  addRoute("GET", "/v1/members",
           [this](const auto &exchange, const RouteMatch &) {
             protocol::QueryRequest request;
             request.mutable_membership();
             query(exchange, std::move(request));
           });
  addRoute("PUT", "/v1/members/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             protocol::QueryRequest request;
             request.mutable_membership_change()->set_add(match[0]);
             query(exchange, std::move(request));
           });
  addRoute("DELETE", "/v1/members/{}",
           [this](const auto &exchange, const RouteMatch &match) {
             protocol::QueryRequest request;
             request.mutable_membership_change()->set_remove(match[0]);
             query(exchange, std::move(request));
           });
}

void OperatorsApi::addListing(const std::string &path,
                              const std::string &kind) {
  addRoute("GET", path, [this, kind](const auto &exchange, const RouteMatch &) {
    protocol::QueryRequest request;
    request.mutable_configuration()->set_kind(kind);
    query(exchange, std::move(request));
  });
  addRoute("GET", path + "/{}",
           [this, kind](const auto &exchange, const RouteMatch &match) {
             protocol::QueryRequest request;
             request.mutable_configuration()->set_kind(kind);
             request.mutable_configuration()->set_name(match[0]);
             query(exchange, std::move(request));
           });
}

void OperatorsApi::submit(std::shared_ptr<HttpExchange> exchange,
                          protocol::Command command) {
  const HttpHeaders &headers = exchange->request().Headers;
  const std::string id(
      headers.find(RequestIdHeader).value_or(std::string_view()));
  command.set_request_id(id.empty() ? randomRequestId() : id);
  command.set_author(
      std::string(headers.find(OperatorHeader).value_or(DefaultOperator)));
  const std::string sentId = command.request_id();
  Client.submit(std::move(command),
                [exchange, sentId](peers::CellCallOutcome outcome,
                                   const protocol::CommandResult &result) {
                  HttpResponse response =
                      outcome == peers::CellCallOutcome::Answered
                          ? commandResponse(result)
                          : outcomeUnknownResponse();
                  response.Headers.add(std::string(RequestIdHeader), sentId);
                  exchange->respond(std::move(response));
                });
}

void OperatorsApi::query(std::shared_ptr<HttpExchange> exchange,
                         protocol::QueryRequest request) {
  const bool hasItemName = !request.configuration().name().empty() ||
                           !request.jobs().job().empty() ||
                           !request.vms().vm().empty();
  Client.query(std::move(request), [exchange, hasItemName](
                                       peers::CellCallOutcome outcome,
                                       const protocol::QueryReply &reply) {
    if (outcome != peers::CellCallOutcome::Answered) {
      exchange->respond(
          errorResponse(504, "no_leader", "no answer from the cell's leader"));
    } else if (reply.has_in_force()) {
      exchange->respond(jsonResponse(200, toJson(reply.in_force())));
    } else if (reply.has_profile_history()) {
      exchange->respond(jsonResponse(200, toJson(reply.profile_history())));
    } else if (!reply.membership().refused().empty()) {
      exchange->respond(
          errorResponse(409, "refused", reply.membership().refused()));
    } else if (reply.has_membership()) {
      exchange->respond(jsonResponse(200, toJson(reply.membership())));
    } else if (hasItemName && reply.configuration().items().empty() &&
               reply.jobs().jobs().empty() && reply.vms().vms().empty()) {
      exchange->respond(errorResponse(404, "not_found", "no such item"));
    } else if (reply.has_jobs()) {
      exchange->respond(jsonResponse(200, toJson(reply.jobs())));
    } else if (reply.has_vms()) {
      exchange->respond(jsonResponse(200, toJson(reply.vms())));
    } else {
      exchange->respond(jsonResponse(200, toJson(reply.configuration())));
    }
  });
}

} // namespace masticwinch::operators
