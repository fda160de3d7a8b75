// Serves calls of any method through gRPC's generic service.
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
  std::string address;               // "host:port"; port 0 takes any free one
  int max_message_bytes = 16 << 20;  // a larger message ends its call with RESOURCE_EXHAUSTED
  int waiting_calls = 64;            // calls that may arrive together without one waiting to be taken
};

// The handler runs on the loop, once for each call. A loop bears one server, which must go before it.
class GrpcServer {
 public:
  // Listens at once. Throws ListenError, naming the address, where that fails.
  GrpcServer(const GrpcServerOptions& options, GrpcLoop& loop, ServerHandler handler);
  ~GrpcServer();  // shutdown(0) where that hasn't been called
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;

  int port() const { return port_; }
  // Takes no further calls, waits for those that are out and breaks them off after the grace; a handler whose
  // call is cancelled must end. Blocks; not to be called on the loop.
  void shutdown(TimeUs grace);

 private:
  class Call;
  void accept();
  void take(std::shared_ptr<Call> call);
  void count(int by);

  GrpcLoop& loop_;
  ServerHandler handler_;
  grpc::AsyncGenericService service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  std::mutex mutex_;
  std::condition_variable ended_;
  size_t running_ = 0;  // calls waited for and handlers that haven't ended; guarded by mutex_
};

}  // namespace sablelink::rpc
