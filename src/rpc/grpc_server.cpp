#include "rpc/grpc_server.h"

#include <grpcpp/security/server_credentials.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "rpc/grpc_tags.h"

namespace sablelink::rpc {
namespace asio = boost::asio;

class GrpcServer::Call : public ServerCall, public std::enable_shared_from_this<Call> {
 public:
  Call() : stream(&context) {}

  const std::string& method() const override { return method_; }
  const Metadata& metadata() const override { return metadata_; }
  const std::string& peer() const override { return peer_; }
  std::optional<TimeUs> allowed() const override { return allowed_; }
  bool cancelled() const override { return cancelled_; }

  Awaitable<std::optional<std::string>> read() override {
    const auto buffer = std::make_shared<grpc::ByteBuffer>();
    const auto self = shared_from_this();
    auto start = [self, buffer](void* tag) { self->stream.Read(buffer.get(), tag); };
    const bool ok = co_await await_tag(self, std::move(start));
    if (!ok) co_return std::nullopt;
    co_return take_bytes(*buffer);
  }

  Awaitable<bool> write(std::string message) override {
    const auto self = shared_from_this();
    const grpc::ByteBuffer buffer = give_bytes(std::move(message));
    return await_tag(self, [self, buffer](void* tag) { self->stream.Write(buffer, tag); });
  }

  Awaitable<bool> finish(Status status, Metadata trailers, std::optional<std::string> last) override {
    finished_ = true;
    for (const auto& [key, value] : trailers) context.AddTrailingMetadata(key, value);
    const grpc::Status end(static_cast<grpc::StatusCode>(status.code), status.message, status.details);
    const auto self = shared_from_this();
    if (!last) {
      return await_tag(self, [self, end](void* tag) { self->stream.Finish(end, tag); });
    }
    const grpc::ByteBuffer buffer = give_bytes(std::move(*last));
    return await_tag(self, [self, end, buffer](void* tag) {
      self->stream.WriteAndFinish(buffer, grpc::WriteOptions(), end, tag);
    });
  }

  void on_cancelled(std::function<void()> fn) override {
    if (cancelled_)
      fn();
    else
      on_cancelled_ = std::move(fn);
  }

  // Reads what came with the call.
  void arrived(const WallClock& wall) {
    method_ = context.method();
    metadata_ = copy_metadata(context.client_metadata());
    peer_ = context.peer();
    const auto deadline = context.deadline();
    if (deadline != std::chrono::system_clock::time_point::max()) {
      const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - wall()).count();
      // gRPC's own clients round a timeout up by as much as 1% before they send it, and send one that they
      // have sent before in its place where that is up to 3% longer (header compression). They themselves
      // wait for no longer than was asked.
      allowed_ = std::max<TimeUs>(left - left / 25, 0);
    }
  }

  // The call is over.
  void done() {
    if (context.IsCancelled()) {
      cancelled_ = true;
      if (on_cancelled_) std::exchange(on_cancelled_, nullptr)();
    }
    on_cancelled_ = nullptr;  // it may hold what holds this call
  }

  void break_off() {
    if (!finished_ && !cancelled_) context.TryCancel();
  }

  grpc::GenericServerContext context;
  grpc::GenericServerAsyncReaderWriter stream;

 private:
  std::string method_;
  Metadata metadata_;
  std::string peer_;
  std::optional<TimeUs> allowed_;
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
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);  // a port in use is an error, not shared
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0) throw ListenError("can't listen on " + options.address);
  for (int i = 0; i < options.waiting_calls; ++i) accept();
}

GrpcServer::~GrpcServer() { shutdown(0); }

void GrpcServer::shutdown(TimeUs grace) {
  server_->Shutdown(loop_.wall()() + std::chrono::microseconds(grace));
  // A handler that still runs may start an operation, and a call waited for names this server.
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return running_ == 0; });
}

void GrpcServer::accept() {
  count(1);
  auto call = std::make_shared<Call>();
  // Both tags hold the call: the first until it has arrived, the second until it is over.
  auto* const raw = call.get();
  auto over = [call](bool) { call->done(); };
  auto* const over_tag = new FnTag<decltype(over)>(std::move(over));
  raw->context.AsyncNotifyWhenDone(over_tag->give_out());
  auto arrived = [this, call = std::move(call), over_tag](bool ok) mutable {
    if (ok) {
      accept();
      take(std::move(call));
    } else {
      over_tag->abandon();  // gRPC doesn't return it where the call never started
      count(-1);
    }
  };
  service_.RequestCall(&raw->context, &raw->stream, loop_.queue(), loop_.server_queue(),
                       (new FnTag<decltype(arrived)>(std::move(arrived)))->give_out());
}

void GrpcServer::count(int by) {
  const std::lock_guard lock(mutex_);
  running_ += by;
  if (running_ == 0) ended_.notify_all();
}

void GrpcServer::take(std::shared_ptr<Call> call) {
  call->arrived(loop_.wall());
  asio::co_spawn(
      loop_.executor(),
      [](GrpcServer* server, std::shared_ptr<Call> c) -> Awaitable<void> {
        co_await server->handler_(c);
        c->break_off();
        server->count(-1);
      }(this, std::move(call)),
      asio::detached);
}

}  // namespace sablelink::rpc
