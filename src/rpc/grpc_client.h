// gRPC channels to servers, without encryption.
#pragma once

#include <memory>
#include <string>

#include "rpc/grpc_loop.h"
#include "rpc/rpc.h"

namespace sablelink::rpc {

struct GrpcClientOptions {
  int max_message_bytes = 16 << 20;
  TimeUs reconnect_backoff_us = 100'000;  // initial backoff; the maximum is ten times as long
};

/// Creates channels that belong to one loop, which must outlive them.
class GrpcChannelFactory : public ChannelFactory {
 public:
  GrpcChannelFactory(const GrpcClientOptions& options, GrpcLoop& loop);
  std::unique_ptr<Channel> open(const std::string& address) override;

 private:
  GrpcClientOptions options_;
  GrpcLoop& loop_;
};

}  // namespace sablelink::rpc
