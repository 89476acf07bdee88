#include "agent/data_server.hpp"

#include <atomic>
#include <httplib.h>
#include <thread>
#include <utility>

#include <boragehill/result_code.hpp>

#include "agent/attempt_runner.hpp"
#include "agent/kept_answers.hpp"
#include "kernel/bounded_task_queue.hpp"
#include "kernel/http_server.hpp"

namespace boragehill::agent {

namespace {

constexpr char frames_type[] = "application/x-boragehill-frames";
constexpr std::size_t pool_threads = 256;
constexpr std::size_t pool_waiting = 256;
constexpr std::size_t largest_body = 16U << 20U;

/// An admitted attempt that is run or else abandoned, once: a router may hang
/// up between the admission and the run, and the slot must come free.
class admitted_attempt {
 public:
  admitted_attempt(attempt_runner& runner, attempt_request attempt)
      : runner(&runner), attempt(std::move(attempt)) {}
  ~admitted_attempt() {
    if (!this->begun) this->runner->abandon(this->attempt);
  }
  admitted_attempt(const admitted_attempt&) = delete;
  admitted_attempt& operator=(const admitted_attempt&) = delete;

  void run(httplib::DataSink& sink) {
    this->begun = true;
    this->runner->run(
        this->attempt,
        [&sink](std::string_view bytes) {
          return sink.write(bytes.data(), bytes.size());
        },
        [&sink] { return sink.is_writable(); });
    sink.done();
  }

 private:
  attempt_runner* runner;
  attempt_request attempt;
  bool begun = false;
};

void answer_failure(httplib::Response& response,
                    const wire::frame_failure& failure) {
  response.set_content(wire::encode(failure), frames_type);
}

void refuse(httplib::Response& response, result_code code) {
  answer_failure(response, refusal_frame({.code = code}));
}

}  // namespace

class data_server::impl {
 public:
  impl(endpoint listen, attempt_runner& runner, kept_answers& answers,
       std::function<std::string()> metrics)
      : listen(std::move(listen)),
        runner(&runner),
        answers(&answers),
        metrics(std::move(metrics)) {
    this->configure();
  }

  result<void> start() {
    const int port = this->listen.port;
    if (port == 0) {
      const int taken = this->server.bind_to_any_port(this->listen.address);
      if (taken <= 0) return result_code::address_in_use;
      this->listen.port = static_cast<std::uint16_t>(taken);
    } else if (!this->server.bind_to_port(this->listen.address, port)) {
      return result_code::address_in_use;
    }
    this->server.widen_listen_queue();
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    this->server_started = true;
    return success();
  }

  void stop() {
    if (!this->server_started.exchange(false)) return;
    this->server.stop();
    this->thread.join();
  }

  endpoint listen;

 private:
  void configure() {
    this->server.new_task_queue = [] {
      return new kernel::bounded_task_queue("attempts", pool_threads,
                                            pool_waiting);
    };
    // One request a connection: a kept one would hold a thread while idle.
    this->server.set_keep_alive_max_count(1);
    this->server.set_payload_max_length(largest_body);
    this->server.set_tcp_nodelay(true);
    this->server.Post("/attempt", [this](const auto& request, auto& response) {
      this->take_attempt(request, response);
    });
    this->server.Get("/attempt/(.+)",
                     [this](const auto& request, auto& response) {
                       this->hand_over(request.matches[1], response);
                     });
    this->server.Get("/healthz", [](const auto&, auto& response) {
      response.set_content("ok\n", "text/plain");
    });
    this->server.Get("/metrics", [this](const auto&, auto& response) {
      response.set_content(this->metrics(), "text/plain; version=0.0.4");
    });
  }

  void take_attempt(const httplib::Request& request,
                    httplib::Response& response) {
    if (kernel::bounded_task_queue::overloaded()) {
      return refuse(response, result_code::server_busy);
    }
    auto attempt = read_attempt(request);
    if (!attempt) return refuse(response, code_of(attempt.error()));
    const auto verdict = this->runner->offer(attempt.value());
    if (verdict.code != result_code::ok) {
      return answer_failure(response, refusal_frame(verdict));
    }
    auto admitted = std::make_shared<admitted_attempt>(
        *this->runner, std::move(attempt).value());
    response.set_chunked_content_provider(
        frames_type, [admitted](std::size_t, httplib::DataSink& sink) {
          admitted->run(sink);
          return true;
        });
  }

  void hand_over(const std::string& text, httplib::Response& response) {
    const auto id = attempt_id::parse(text);
    const auto kept = id ? this->answers->find(*id) : nullptr;
    if (!kept) {
      return answer_failure(response, {.code = result_code::attempt_forgotten,
                                       .ran = ran_state::unknown,
                                       .message = "no answer is kept"});
    }
    response.set_content(*kept, frames_type);
  }

  attempt_runner* runner;
  kept_answers* answers;
  std::function<std::string()> metrics;
  kernel::http_server server;
  std::thread thread;
  std::atomic<bool> server_started{false};
};

data_server::data_server(endpoint listen, attempt_runner& runner,
                         kept_answers& answers,
                         std::function<std::string()> metrics)
    : inner(std::make_unique<impl>(std::move(listen), runner, answers,
                                   std::move(metrics))) {}

data_server::~data_server() {
  this->stop();
}

result<void> data_server::start() {
  return this->inner->start();
}

endpoint data_server::bound() const {
  return this->inner->listen;
}

void data_server::stop() {
  this->inner->stop();
}

}  // namespace boragehill::agent
