#include "rpc/grpc_server.h"

#include <grpcpp/security/server_credentials.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "rpc/completion_tag.h"

namespace sablelink::rpc {
namespace asio = boost::asio;

namespace {

// gRPC clients round a time-out up by at most 1% before they send it. Where header compression saves bytes,
// they may send an earlier time-out again that is up to 3% longer. The client itself still waits only for the
// time-out that its caller set, so the received one is reduced by 1/25 = 4%.
constexpr TimeUs kTimeoutRoundingDivisor = 25;

}  // namespace

class GrpcServer::Call : public ServerCall, public std::enable_shared_from_this<Call> {
 public:
  Call() : stream(&context) {}

  const std::string& method() const override { return method_; }
  const Metadata& metadata() const override { return metadata_; }
  const std::string& peer() const override { return peer_; }
  std::optional<TimeUs> client_timeout_us() const override { return client_timeout_us_; }
  bool cancelled() const override { return cancelled_; }

  Awaitable<std::optional<std::string>> read() override {
    const auto buffer = std::make_shared<grpc::ByteBuffer>();
    const auto self = shared_from_this();
    auto start = [self, buffer](void* tag) { self->stream.Read(buffer.get(), tag); };
    const bool ok = co_await await_completion(self, std::move(start));
    if (!ok) co_return std::nullopt;
    co_return to_string(*buffer);
  }

  Awaitable<bool> write(std::string message) override {
    const auto self = shared_from_this();
    const grpc::ByteBuffer buffer = to_byte_buffer(std::move(message));
    return await_completion(self, [self, buffer](void* tag) { self->stream.Write(buffer, tag); });
  }

  Awaitable<bool> finish(Status status, Metadata trailers, std::optional<std::string> last) override {
    finished_ = true;
    for (const auto& [key, value] : trailers) context.AddTrailingMetadata(key, value);
    const grpc::Status grpc_status(static_cast<grpc::StatusCode>(status.code), status.message,
                                   status.details);
    const auto self = shared_from_this();
    if (!last) {
      return await_completion(self,
                              [self, grpc_status](void* tag) { self->stream.Finish(grpc_status, tag); });
    }
    const grpc::ByteBuffer buffer = to_byte_buffer(std::move(*last));
    return await_completion(self, [self, grpc_status, buffer](void* tag) {
      self->stream.WriteAndFinish(buffer, grpc::WriteOptions(), grpc_status, tag);
    });
  }

  void on_cancelled(std::function<void()> fn) override {
    if (cancelled_) {
      fn();
    } else {
      on_cancelled_ = std::move(fn);
    }
  }

  // Reads the method, metadata, peer and deadline of the call that was accepted.
  void on_accepted(const WallClock& wall) {
    method_ = context.method();
    metadata_ = copy_metadata(context.client_metadata());
    peer_ = context.peer();
    const auto deadline = context.deadline();
    if (deadline == std::chrono::system_clock::time_point::max()) return;
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(deadline - wall());
    const TimeUs remaining_us = remaining.count();
    client_timeout_us_ = std::max<TimeUs>(remaining_us - remaining_us / kTimeoutRoundingDivisor, 0);
  }

  // Called when gRPC reports that the call has completed or was cancelled.
  void on_done() {
    if (context.IsCancelled()) {
      cancelled_ = true;
      if (on_cancelled_) std::exchange(on_cancelled_, nullptr)();
    }
    on_cancelled_ = nullptr;  // the function may own this call
  }

  void cancel_unless_finished() {
    if (!finished_ && !cancelled_) context.TryCancel();
  }

  grpc::GenericServerContext context;
  grpc::GenericServerAsyncReaderWriter stream;

 private:
  std::string method_;
  Metadata metadata_;
  std::string peer_;
  std::optional<TimeUs> client_timeout_us_;
  bool cancelled_ = false;
  bool finished_ = false;
  std::function<void()> on_cancelled_;
};

GrpcServer::GrpcServer(const GrpcServerOptions& options, GrpcLoop& loop, ServerHandler handler)
    : loop_(loop), handler_(std::move(handler)) {
  grpc::ServerBuilder& builder = loop_.server_builder();
  builder.AddListeningPort(options.address, grpc::InsecureServerCredentials(), &port_);
  builder.RegisterAsyncGenericService(&service_);
  builder.SetMaxReceiveMessageSize(options.max_message_bytes);
  builder.SetMaxSendMessageSize(-1);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);  // makes a port in use an error
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0) throw ListenError("can't listen on " + options.address);
  for (int i = 0; i < options.pending_accepts; ++i) accept_next();
}

GrpcServer::~GrpcServer() { shutdown(0); }

void GrpcServer::shutdown(TimeUs grace_us) {
  server_->Shutdown(loop_.wall()() + std::chrono::microseconds(grace_us));
  // A running handler may start further operations, and a pending accept refers to this server.
  std::unique_lock lock(mutex_);
  none_active_.wait(lock, [this] { return active_ == 0; });
}

// Both tags own the call: one until the call is accepted, the other until it has completed.
void GrpcServer::accept_next() {
  add_active(1);
  auto call = std::make_shared<Call>();
  auto* const raw_call = call.get();
  auto on_done = [call](bool) { call->on_done(); };
  auto* const done_tag = new CallbackTag<decltype(on_done)>(std::move(on_done));
  raw_call->context.AsyncNotifyWhenDone(done_tag->hand_to_grpc());
  auto on_accepted = [this, call = std::move(call), done_tag](bool ok) mutable {
    if (ok) {
      accept_next();
      run_handler(std::move(call));
    } else {
      done_tag->abandon();  // gRPC doesn't return this tag where no call was accepted
      add_active(-1);
    }
  };
  auto* const accepted_tag = new CallbackTag<decltype(on_accepted)>(std::move(on_accepted));
  service_.RequestCall(&raw_call->context, &raw_call->stream, loop_.queue(), loop_.server_queue(),
                       accepted_tag->hand_to_grpc());
}

void GrpcServer::add_active(int change) {
  const std::lock_guard lock(mutex_);
  active_ += change;
  if (active_ == 0) none_active_.notify_all();
}

void GrpcServer::run_handler(std::shared_ptr<Call> call) {
  call->on_accepted(loop_.wall());
  asio::co_spawn(
      loop_.executor(),
      [](GrpcServer* server, std::shared_ptr<Call> handled) -> Awaitable<void> {
        co_await server->handler_(handled);
        handled->cancel_unless_finished();
        server->add_active(-1);
      }(this, std::move(call)),
      asio::detached);
}

}  // namespace sablelink::rpc
