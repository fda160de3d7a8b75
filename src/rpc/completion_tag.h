// From gRPC's completion queue to coroutines: what waits for an operation is called where its completion is
// taken from the queue, on the loop's thread.
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

// What is given to the queue as tag. One of complete() and abandon() runs, once, and frees the tag: on the
// loop's thread, or where that has ended on the one that ends the loop.
class Tag {
 public:
  virtual ~Tag() = default;
  virtual void complete(bool ok) = 0;
  virtual void abandon() { delete this; }  // the loop ends: whoever waits is dropped

  // Around the time in which gRPC has the tag. gRPC hands it from thread to thread by means that the thread
  // sanitizer doesn't see in a library built without it; this pair shows it the order.
  Tag* give_out() {
    handed_.store(true, std::memory_order_release);
    return this;
  }
  Tag* take_back() {
    handed_.load(std::memory_order_acquire);
    return this;
  }

 private:
  std::atomic<bool> handed_{false};
};

// A tag that calls fn.
template <typename Fn>
class FnTag : public Tag {
 public:
  explicit FnTag(Fn fn) : fn_(std::move(fn)) {}
  void complete(bool ok) override {
    Fn fn = std::move(fn_);
    delete this;
    fn(ok);
  }

 private:
  Fn fn_;
};

// Starts an operation with a tag and waits for its completion. keep stays alive until then. Not a coroutine
// itself, and callers that are give start a name first: GCC 12 destroys a lambda that is a temporary of a
// co_await expression twice.
template <typename Start>
Awaitable<bool> await_tag(std::shared_ptr<void> keep, Start start) {
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(bool)>(
      [keep = std::move(keep), start = std::move(start)](auto handler) mutable {
        auto done = [keep = std::move(keep), handler = std::move(handler)](bool ok) mutable { handler(ok); };
        start((new FnTag<decltype(done)>(std::move(done)))->give_out());
      },
      boost::asio::use_awaitable);
}

inline std::string take_bytes(const grpc::ByteBuffer& buffer) {
  std::vector<grpc::Slice> slices;
  std::string bytes;
  if (!buffer.Valid() || !buffer.Dump(&slices).ok()) return bytes;
  bytes.reserve(buffer.Length());
  for (const grpc::Slice& slice : slices)
    bytes.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  return bytes;
}

// The buffer takes the string over, without a copy.
inline grpc::ByteBuffer give_bytes(std::string bytes) {
  auto* owned = new std::string(std::move(bytes));
  const grpc::Slice slice(
      owned->data(), owned->size(), [](void* s) { delete static_cast<std::string*>(s); }, owned);
  return grpc::ByteBuffer(&slice, 1);
}

template <typename Map>
Metadata copy_metadata(const Map& map) {
  Metadata copy;
  copy.reserve(map.size());
  for (const auto& [key, value] : map)
    copy.emplace_back(std::string(key.data(), key.size()), std::string(value.data(), value.size()));
  return copy;
}

}  // namespace sablelink::rpc
