// The HTTP server that faces the platform's clients.
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

/// Accepts connections, hands their requests to the dispatcher and closes them on shutdown. Validation is in
/// client_request.h, the life of one connection in http_connection.h, the limit of connections in
/// connection_admission.h. Used on the strand of the dialer.
///
/// Graceful shutdown, whose times are in shutdown_schedule.h:
///   1. start_draining(): health checks fail, so that clients go elsewhere. Each connection is half-closed
///   after
///      its response, unless another request has arrived on it.
///   2. Once the listener is closed, close_idle_connections(): idle connections are half-closed as well.
///   3. The owner waits for is_idle(), for a bounded time.
class HttpServer {
 public:
  /// The references must outlive the server. The dialer gives the strand.
  HttpServer(HttpServerOptions options, dispatch::RequestDispatcher& dispatcher, rpc::Dialer& dialer,
             Clock& clock);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Serves one connection until it is closed. May outlive the server, then ends at its next event.
  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream);

  /// Health checks fail from now on, and connections are half-closed after their responses.
  void start_draining() { context_.is_draining = true; }
  /// Half-closes idle connections, now and from now on. Requests that have arrived are still accepted.
  void close_idle_connections();
  /// True where no connection is open.
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
