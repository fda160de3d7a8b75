// Connects gRPC's completion queue with coroutines: the loop's thread takes completions from the queue and
// resumes the coroutines that await them.
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

/// Identifies an operation in the completion queue. Exactly one of complete() and abandon() is called, and it
/// destroys the tag. The call is made on the loop's thread, or, once that has ended, on the thread that
/// destroys the loop.
class CompletionTag {
 public:
  virtual ~CompletionTag() = default;
  /// ok: the operation's result; gRPC defines its meaning for each kind of operation.
  virtual void complete(bool ok) = 0;
  /// Called where the loop is destroyed or the operation never completes: the awaiting coroutine isn't
  /// resumed.
  virtual void abandon() { delete this; }

  // gRPC passes a tag between threads in ways that ThreadSanitizer can't see where the library was built
  // without it. These two methods, called before the tag is given to gRPC and after gRPC returns it, make the
  // order visible to ThreadSanitizer.
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

/// A tag that calls a function with the operation's result.
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

/// Calls start, which starts an operation with the given tag, and returns the operation's result. owner is
/// kept alive until the operation has completed.
///
/// This isn't a coroutine itself, and coroutines must pass a named variable as start: GCC 12 destroys a
/// lambda twice where it is a temporary in a co_await expression.
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

/// Returns the bytes of a message; empty where the buffer is invalid.
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
