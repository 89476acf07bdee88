#include "app/admin_client.hpp"

#include <absl/flags/flag.h>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <json/json.h>
#include <memory>
#include <utility>

#include <boragehill/result_code.hpp>

ABSL_FLAG(std::string, router, "", "IP:port of a router's operators' listener");
ABSL_FLAG(std::string, token_file, "", "file that holds the operators' token");

namespace boragehill::app {

namespace {

constexpr int timeout_seconds = 15;
constexpr int unconfirmed = static_cast<int>(result_code::profile_unconfirmed);

Json::Value parse(const std::string& text) {
  Json::Value json;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const char* begin = text.data();
  if (!reader->parse(begin, begin + text.size(), &json, nullptr)) return {};
  return json;
}

exit_code code_for(int result) {
  switch (static_cast<result_code>(result)) {
    case result_code::profile_conflict:
      return exit_code::conflict;
    case result_code::profile_unconfirmed:
      return exit_code::unconfirmed;
    case result_code::unauthorized:
      return exit_code::unreachable;
    default:
      return exit_code::failed;
  }
}

std::string advice_for(int result) {
  switch (static_cast<result_code>(result)) {
    case result_code::profile_conflict:
      return "Read the profile again (profile show), merge, and publish with "
             "its revision as --base.";
    case result_code::profile_unconfirmed:
      return "It may be in force: run the same command again with the same "
             "--publish_id.";
    case result_code::unauthorized:
      return "Check --token_file against the router's admin_token_file.";
    case result_code::unknown_path:
      return "Check the name, and that --router is a router's operators' "
             "address (router.admin).";
    case result_code::platform_down:
    case result_code::platform_throttled:
      return "The platform's table does not answer; nothing was changed. Try "
             "again later.";
    default:
      return {};
  }
}

admin_answer read(const httplib::Result& result, const endpoint& router) {
  if (!result) {
    return {exit_code::unreachable,
            {},
            "router " + router.to_string() + " does not answer (" +
                httplib::to_string(result.error()) +
                " error)\nTry another router, or see whether this one runs."};
  }
  admin_answer answer;
  answer.body = parse(result->body);
  if (result->status == 200) return answer;
  if (!answer.body.isObject() || !answer.body["error"].isObject()) {
    return {exit_code::unreachable,
            {},
            router.to_string() + " answers with status " +
                std::to_string(result->status) +
                ": it is not a router's operators' listener"};
  }
  const Json::Value error = answer.body["error"];
  const int number = error["code"].asInt();
  answer.code = code_for(number);
  answer.error = std::to_string(number) + " " + error["name"].asString() +
                 ": " + error["message"].asString();
  const std::string advice = advice_for(number);
  if (!advice.empty()) answer.error += "\n" + advice;
  return answer;
}

httplib::Client connect(const endpoint& router, const std::string& token) {
  httplib::Client client(router.address, router.port);
  client.set_bearer_token_auth(token);
  client.set_connection_timeout(timeout_seconds);
  client.set_read_timeout(timeout_seconds);
  return client;
}

}  // namespace

admin_client::admin_client(endpoint where, std::string secret)
    : router(std::move(where)), token(std::move(secret)) {}

admin_answer admin_client::get(const std::string& path) const {
  auto client = connect(this->router, this->token);
  return read(client.Get("/admin/v1/" + path), this->router);
}

admin_answer admin_client::publish(const std::string& source,
                                   std::uint64_t base,
                                   const std::string& publish_id) const {
  auto client = connect(this->router, this->token);
  const std::string path = "/admin/v1/profiles?base=" + std::to_string(base) +
                           "&publish_id=" + publish_id;
  const auto result = client.Put(path, source, "application/toml");
  // Once the request may have reached the router, silence does not say that
  // the profile was not accepted; only a failed connection does.
  const bool sent =
      result || (result.error() != httplib::Error::Connection &&
                 result.error() != httplib::Error::ConnectionTimeout);
  auto answer = read(result, this->router);
  if (!result && sent) {
    answer.code = exit_code::unconfirmed;
    answer.error += "\n" + advice_for(unconfirmed);
  }
  return answer;
}

std::optional<admin_client> client_of_flags() {
  const auto router = endpoint::parse(absl::GetFlag(FLAGS_router));
  if (!router) {
    std::cerr << "boragehill: --router is missing or not IP:port; it takes a "
                 "router's operators' listener (router.admin)\n";
    return std::nullopt;
  }
  std::ifstream file(absl::GetFlag(FLAGS_token_file));
  std::string token;
  file >> token;
  if (token.empty()) {
    std::cerr << "boragehill: no token in --token_file \""
              << absl::GetFlag(FLAGS_token_file)
              << "\"; it takes a copy of the router's admin_token_file\n";
    return std::nullopt;
  }
  return admin_client(*router, token);
}

}  // namespace boragehill::app
