#include "rpc/grpc_client.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/security/credentials.h>

#include <utility>

#include "rpc/completion_tag.h"

namespace sablelink::rpc {
namespace {

constexpr int kConnectAttemptTimeoutMs = 1000;
constexpr int kMaxBackoffFactor = 10;

// Kept alive until gRPC has completed all operations of the call, even where the GrpcClientCall is destroyed
// before.
struct CallState {
  grpc::ClientContext context;
  std::unique_ptr<grpc::GenericClientAsyncReaderWriter> stream;
  bool finished = false;
};

class GrpcClientCall : public ClientCall {
 public:
  explicit GrpcClientCall(std::shared_ptr<CallState> state) : state_(std::move(state)) {}
  ~GrpcClientCall() override {
    if (!state_->finished) state_->context.TryCancel();
  }

  Awaitable<bool> write(std::string message, bool last) override {
    const grpc::ByteBuffer buffer = to_byte_buffer(std::move(message));
    return await_completion(state_, [state = state_.get(), buffer, last](void* tag) {
      if (last) {
        state->stream->WriteLast(buffer, grpc::WriteOptions(), tag);
      } else {
        state->stream->Write(buffer, tag);
      }
    });
  }

  Awaitable<std::optional<std::string>> read() override {
    const auto buffer = std::make_shared<grpc::ByteBuffer>();
    auto start = [state = state_.get(), buffer](void* tag) { state->stream->Read(buffer.get(), tag); };
    const bool ok = co_await await_completion(state_, std::move(start));
    if (!ok) co_return std::nullopt;
    co_return to_string(*buffer);
  }

  Awaitable<CallResult> finish() override {
    const std::shared_ptr<CallState> state = state_;
    const auto status = std::make_shared<grpc::Status>();
    auto start = [raw = state.get(), status](void* tag) { raw->stream->Finish(status.get(), tag); };
    co_await await_completion(state, std::move(start));
    state->finished = true;
    CallResult result;
    result.status.code = static_cast<Code>(status->error_code());
    result.status.message = status->error_message();
    result.status.details = status->error_details();
    result.trailers = copy_metadata(state->context.GetServerTrailingMetadata());
    co_return result;
  }

  void cancel() override { state_->context.TryCancel(); }

 private:
  std::shared_ptr<CallState> state_;
};

class GrpcChannel : public Channel {
 public:
  GrpcChannel(std::shared_ptr<grpc::Channel> channel, GrpcLoop& loop)
      : channel_(std::move(channel)), stub_(channel_), loop_(loop) {}

  Awaitable<bool> connect(TimeUs timeout_us) override {
    const auto deadline = loop_.wall()() + std::chrono::microseconds(timeout_us);
    const std::shared_ptr<grpc::Channel> channel = channel_;
    grpc_connectivity_state state = channel->GetState(true);
    while (state != GRPC_CHANNEL_READY) {
      if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN) co_return false;
      auto start = [raw = channel.get(), state, deadline, queue = loop_.queue()](void* tag) {
        raw->NotifyOnStateChange(state, deadline, queue, tag);
      };
      const bool changed = co_await await_completion(channel, std::move(start));
      if (!changed) co_return false;
      state = channel->GetState(true);
    }
    co_return true;
  }

  std::unique_ptr<ClientCall> call(std::string method, Metadata metadata, TimeUs timeout_us) override {
    auto state = std::make_shared<CallState>();
    for (const auto& [key, value] : metadata) state->context.AddMetadata(key, value);
    state->context.set_initial_metadata_corked(true);  // sent with the first message
    if (timeout_us > 0) {
      state->context.set_deadline(loop_.wall()() + std::chrono::microseconds(timeout_us));
    }
    state->stream = stub_.PrepareCall(&state->context, method, loop_.queue());
    state->stream->StartCall(nullptr);  // without a tag, as nothing is sent yet
    return std::make_unique<GrpcClientCall>(std::move(state));
  }

 private:
  std::shared_ptr<grpc::Channel> channel_;
  grpc::GenericStub stub_;
  GrpcLoop& loop_;
};

}  // namespace

GrpcChannelFactory::GrpcChannelFactory(const GrpcClientOptions& options, GrpcLoop& loop)
    : options_(options), loop_(loop) {}

std::unique_ptr<Channel> GrpcChannelFactory::open(const std::string& address) {
  grpc::ChannelArguments args;
  args.SetMaxReceiveMessageSize(options_.max_message_bytes);
  args.SetMaxSendMessageSize(-1);
  args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);             // gRPC must not retry calls on its own
  args.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection for each channel
  const int backoff_ms = static_cast<int>(options_.reconnect_backoff_us / 1000);
  args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, backoff_ms);
  // gRPC also uses this as the time-out of a connection attempt.
  args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectAttemptTimeoutMs);
  args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffFactor * backoff_ms);
  args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);  // otherwise environment variables could set a proxy
  return std::make_unique<GrpcChannel>(
      grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), args), loop_);
}

}  // namespace sablelink::rpc
