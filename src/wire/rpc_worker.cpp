#include "wire/rpc_worker.hpp"

#include <exception>
#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <utility>

#include "kernel/event_log.hpp"
#include "wire/rpc_connection.hpp"

namespace boragehill::wire::detail {

namespace {

using jsonrpc::Errors;
using jsonrpc::JsonRpcException;

jsonrpc::Procedure procedure_named(const std::string& name) {
  // The list of parameters is variadic and ends with a null pointer.
  return {name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
          static_cast<const char*>(nullptr)};
}

int error_code_in(const std::string& text) {
  Json::Value answer;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  const char* end = text.data() + text.size();
  if (!reader->parse(text.data(), end, &answer, nullptr)) return 0;
  if (!answer.isObject() || !answer["error"].isObject()) return 0;
  return answer["error"]["code"].asInt();
}

}  // namespace

rpc_worker::rpc_worker(const rpc_methods& methods, std::size_t max_frame)
    : methods(methods),
      max_frame(max_frame),
      protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, *this)) {
  for (const auto& [name, handle] : methods) {
    this->protocol->AddProcedure(procedure_named(name));
  }
  this->SetHandler(this->protocol.get());
}

rpc_worker::~rpc_worker() = default;

void rpc_worker::serve(const rpc_call& call) {
  this->invoked = false;
  this->answer.clear();
  try {
    this->OnRequest(call.text);
  } catch (const std::exception& failure) {
    // jsoncpp throws on text nested too deep, and the library lets some of its
    // errors through; the worker must live on to serve the other peers.
    call.from->reject(failure.what());
    return;
  }
  if (this->is_garbled()) return call.from->reject("not a JSON-RPC request");
  if (this->answer.empty()) return call.from->skip();
  if (this->answer.size() > this->max_frame) {
    this->answer = rpc_error_text(result_code::frame_too_large);
  }
  call.from->reply(std::move(this->answer));
}

bool rpc_worker::SendResponse(const std::string& response, void*) {
  this->answer = response;
  return true;
}

void rpc_worker::HandleMethodCall(jsonrpc::Procedure& procedure,
                                  const Json::Value& input,
                                  Json::Value& output) {
  this->invoked = true;
  const std::string& name = procedure.GetProcedureName();
  if (!input.isObject() && !input.isNull()) {
    throw JsonRpcException(Errors::ERROR_RPC_INVALID_PARAMS);
  }
  std::error_code error;
  try {
    auto done = this->methods.at(name)(input);
    if (done) {
      output = std::move(done).value();
      return;
    }
    error = done.error();
  } catch (const std::exception& failure) {
    // A handler that throws would end the process and all it serves; its
    // caller gets an internal error instead.
    kernel::log_event(kernel::event::handler_failed,
                      {{"method", name}, {"what", failure.what()}});
    throw JsonRpcException(Errors::ERROR_RPC_INTERNAL_ERROR);
  }
  throw JsonRpcException(static_cast<int>(code_of(error)), error.message());
}

void rpc_worker::HandleNotificationCall(jsonrpc::Procedure&,
                                        const Json::Value&) {}

bool rpc_worker::is_garbled() const {
  if (this->invoked || this->answer.empty()) return false;
  const int code = error_code_in(this->answer);
  return code == Errors::ERROR_RPC_JSON_PARSE_ERROR ||
         code == Errors::ERROR_RPC_INVALID_REQUEST;
}

std::string rpc_error_text(result_code code) {
  Json::Value answer;
  answer["jsonrpc"] = "2.0";
  answer["id"] = Json::Value();
  answer["error"]["code"] = static_cast<int>(code);
  answer["error"]["message"] = std::string(name_of(code));
  Json::StreamWriterBuilder compact;
  compact["indentation"] = "";
  return Json::writeString(compact, answer);
}

}  // namespace boragehill::wire::detail
