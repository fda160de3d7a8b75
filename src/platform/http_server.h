// HTTP server for the platform's clients.
#pragma once

#include <memory>

#include "base/clock.h"
#include "base/weak_ptr.h"
#include "dispatch/request_dispatcher.h"
#include "platform/connection_admission.h"
#include "platform/http_server_context.h"
#include "platform/http_server_options.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

/// Serves client connections and passes their requests to the dispatcher. Validation is in client_request.h,
/// the lifecycle of a connection in http_connection.h, the limit of connections in connection_admission.h.
/// Used only on the dialer's strand.
///
/// Graceful shutdown, with the times in shutdown_schedule.h:
///   1. start_draining(): health checks fail, so that clients use other gateways. Each connection is
///      half-closed after its response unless another request has arrived on it.
///   2. After the listener is closed, close_idle_connections(): idle connections are half-closed as well.
///   3. The owner waits for is_idle(), for a limited time.
class HttpServer {
 public:
  /// The references must outlive the server. The server runs on the dialer's strand. `memory` counts the
  /// bytes of requests and responses; it may be shared with other parts of the gateway.
  HttpServer(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory,
             dispatch::RequestDispatcher& dispatcher, rpc::Dialer& dialer, Clock& clock);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Serves a connection until it is closed. Ends at its next resumption if the server has been destroyed.
  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream);

  /// From now on, health checks fail and connections are half-closed after their responses.
  void start_draining() { context_.is_draining = true; }
  /// From now on, half-closes idle connections. Requests that have already arrived are still accepted.
  void close_idle_connections();
  /// Whether no connection is open.
  bool is_idle() const { return admission_.connections().empty(); }

  const HttpServerCounters& counters() const { return context_.counters; }
  size_t connection_count() const { return admission_.connections().size(); }

 private:
  void enforce_timeouts();
  void schedule_timeout_check();

  HttpServerContext context_;
  ConnectionAdmission admission_{context_};
  WeakPtrFactory<HttpServer> weak_factory_{this};
};

}  // namespace sablelink::platform
