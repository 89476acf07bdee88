#include "serve/status_server.hpp"

#include <utility>

#include "kernel/http_server.hpp"

namespace boragehill::serve {

namespace {

/// One asks once a second; a second thread keeps a hung one from blocking it.
constexpr std::size_t pool_threads = 2;
constexpr int unavailable_status = 503;
constexpr auto text_type = "text/plain; version=0.0.4";

}  // namespace

status_server::status_server(const std::string& path, answer_source source)
    : server(std::make_unique<kernel::http_server>()) {
  this->server->new_task_queue = [] {
    return new httplib::ThreadPool(pool_threads);
  };
  this->server->Get(path,
                    [source = std::move(source)](const httplib::Request&,
                                                 httplib::Response& response) {
                      const auto text = source();
                      if (!text) {
                        response.status = unavailable_status;
                        return;
                      }
                      response.set_content(*text, text_type);
                    });
}

status_server::~status_server() {
  this->stop();
}

bool status_server::start(const endpoint& address) {
  if (!this->server->bind_to_port(address.address.c_str(), address.port)) {
    return false;
  }
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  return true;
}

void status_server::stop() {
  this->server->stop();
  if (this->thread.joinable()) this->thread.join();
}

}  // namespace boragehill::serve
