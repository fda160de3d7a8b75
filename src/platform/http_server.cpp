#include "platform/http_server.h"

#include <utility>

namespace sablelink::platform {
namespace {

constexpr TimeUs kTimeoutCheckIntervalUs = 100'000;

}  // namespace

HttpServer::HttpServer(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory,
                       dispatch::RequestDispatcher& dispatcher, rpc::Dialer& dialer, Clock& clock)
    : context_{std::move(options), dispatcher, dialer.executor(), clock, std::move(memory)} {
  schedule_timeout_check();
}

HttpServer::~HttpServer() {
  weak_factory_.invalidate();
  for (const auto& connection : admission_.connections()) connection->resume_reading();
}

rpc::Awaitable<void> HttpServer::serve(std::shared_ptr<rpc::ByteStream> stream) {
  const WeakPtr<HttpServer> self = weak_factory_.get_weak_ptr();
  ++context_.counters.accepted_connections;
  const AdmissionDecision decision = admission_.decide();
  if (decision == AdmissionDecision::kCloseUnread) co_return;
  const auto connection = std::make_shared<HttpConnection>(context_, self, std::move(stream));
  if (decision == AdmissionDecision::kRejectRequests) connection->reject_requests();
  admission_.add(connection);
  co_await HttpConnection::run(connection);
  if (self) admission_.remove(connection);
}

void HttpServer::close_idle_connections() {
  context_.closes_idle_connections = true;
  enforce_timeouts();
}

void HttpServer::enforce_timeouts() {
  const TimeUs now = context_.clock.now();
  // A copy, since closing a connection may change the list.
  const ConnectionAdmission::ConnectionList connections = admission_.connections();
  for (const auto& connection : connections) connection->enforce_timeouts(now);
}

void HttpServer::schedule_timeout_check() {
  context_.clock.call_after(kTimeoutCheckIntervalUs, [self = weak_factory_.get_weak_ptr()] {
    if (!self) return;
    self->enforce_timeouts();
    self->schedule_timeout_check();
  });
}

}  // namespace sablelink::platform
