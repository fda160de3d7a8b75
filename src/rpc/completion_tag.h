// Connects gRPC's completion queue with coroutines: a coroutine that awaits an operation is resumed on the
// loop's thread, where the operation's completion is taken from the queue.
#pragma once

#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/slice.h>

#include <atomic>
#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rpc/rpc.h"

namespace sablelink::rpc {

/// Identifies an operation in the completion queue. Exactly one of complete() and abandon() is called, and
/// destroys the tag: on the loop's thread, or, where that has ended, on the thread that destroys the loop.
class CompletionTag {
 public:
  virtual ~CompletionTag() = default;
  /// ok: as gRPC defines it for the operation.
  virtual void complete(bool ok) = 0;
  /// The loop is destroyed; whoever awaits the operation is dropped.
  virtual void abandon() { delete this; }

  // gRPC hands a tag from thread to thread in ways that the thread sanitizer doesn't see in a library built
  // without it. This pair, called before gRPC gets the tag and after it returns it, shows it the order.
  CompletionTag* hand_to_grpc() {
    handed_over_.store(true, std::memory_order_release);
    return this;
  }
  CompletionTag* take_from_grpc() {
    handed_over_.load(std::memory_order_acquire);
    return this;
  }

 private:
  std::atomic<bool> handed_over_{false};
};

/// Calls a function with the operation's ok.
template <typename Callback>
class CallbackTag : public CompletionTag {
 public:
  explicit CallbackTag(Callback callback) : callback_(std::move(callback)) {}
  void complete(bool ok) override {
    Callback callback = std::move(callback_);
    delete this;
    callback(ok);
  }

 private:
  Callback callback_;
};

/// Calls start with a tag and returns the ok of the operation that it starts. owner stays alive until then.
///
/// Not a coroutine itself, and callers that are coroutines must name start before: GCC 12 destroys a lambda
/// twice that is a temporary of a co_await expression.
template <typename Start>
Awaitable<bool> await_completion(std::shared_ptr<void> owner, Start start) {
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(bool)>(
      [owner = std::move(owner), start = std::move(start)](auto handler) mutable {
        auto callback = [owner = std::move(owner), handler = std::move(handler)](bool ok) mutable {
          handler(ok);
        };
        auto* const tag = new CallbackTag<decltype(callback)>(std::move(callback));
        start(tag->hand_to_grpc());
      },
      boost::asio::use_awaitable);
}

/// The bytes of a message; empty where the buffer is invalid.
inline std::string to_string(const grpc::ByteBuffer& buffer) {
  std::vector<grpc::Slice> slices;
  std::string bytes;
  if (!buffer.Valid() || !buffer.Dump(&slices).ok()) return bytes;
  bytes.reserve(buffer.Length());
  for (const grpc::Slice& slice : slices) {
    bytes.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  }
  return bytes;
}

/// Moves the bytes into a buffer without copying them.
inline grpc::ByteBuffer to_byte_buffer(std::string bytes) {
  auto* const owned = new std::string(std::move(bytes));
  const auto release = [](void* string) { delete static_cast<std::string*>(string); };
  const grpc::Slice slice(owned->data(), owned->size(), release, owned);
  return grpc::ByteBuffer(&slice, 1);
}

template <typename GrpcMetadata>
Metadata copy_metadata(const GrpcMetadata& metadata) {
  Metadata copy;
  copy.reserve(metadata.size());
  for (const auto& [key, value] : metadata) {
    copy.emplace_back(std::string(key.data(), key.size()), std::string(value.data(), value.size()));
  }
  return copy;
}

}  // namespace sablelink::rpc
