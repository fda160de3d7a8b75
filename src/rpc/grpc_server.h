// Serves calls of any method through gRPC's generic service, without encryption.
#pragma once

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/server.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "rpc/errors.h"
#include "rpc/grpc_loop.h"
#include "rpc/rpc.h"

namespace sablelink::rpc {

struct GrpcServerOptions {
  std::string address;               // "host:port"; port 0 for any free port
  int max_message_bytes = 16 << 20;  // larger messages end their call with RESOURCE_EXHAUSTED
  int pending_accepts = 64;          // number of calls that gRPC can deliver before any is handled
};

/// Runs the handler on the loop for each call. A loop can have only one server, which must be destroyed
/// before the loop.
class GrpcServer {
 public:
  /// Starts to listen. Throws ListenError with the address on failure.
  GrpcServer(const GrpcServerOptions& options, GrpcLoop& loop, ServerHandler handler);
  /// Calls shutdown(0).
  ~GrpcServer();
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;

  int port() const { return port_; }
  /// Stops accepting calls and waits for those in flight, which are cancelled after the grace period. A
  /// handler must return once its call is cancelled. This blocks, so it must not be called on the loop.
  void shutdown(TimeUs grace_us);

 private:
  class Call;
  void accept_next();
  void run_handler(std::shared_ptr<Call> call);
  void add_active(int change);

  GrpcLoop& loop_;
  ServerHandler handler_;
  grpc::AsyncGenericService service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  std::mutex mutex_;
  std::condition_variable none_active_;
  size_t active_ = 0;  // number of pending accepts and running handlers; guarded by mutex_
};

}  // namespace sablelink::rpc
