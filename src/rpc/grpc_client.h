// Channels to servers, on gRPC.
#pragma once

#include <memory>
#include <string>

#include "rpc/grpc_tags.h"
#include "rpc/rpc.h"

namespace sablelink::rpc {

struct GrpcClientOptions {
  int max_message_bytes = 16 << 20;
  TimeUs reconnect_after_us = 100'000;  // pause after a connection that failed; grows to ten times this
};

// Owns one completion queue; channels share its thread and must be gone before it.
class GrpcChannelFactory : public ChannelFactory {
 public:
  GrpcChannelFactory(const GrpcClientOptions& options, WallClock wall);
  ~GrpcChannelFactory() override;
  std::unique_ptr<Channel> open(const std::string& address) override;

 private:
  GrpcClientOptions options_;
  WallClock wall_;
  QueueThread thread_;
};

}  // namespace sablelink::rpc
