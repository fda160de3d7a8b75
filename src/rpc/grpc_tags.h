// From gRPC's completion queue to coroutines. The queue's thread does nothing but hand each completion to
// the strand of the coroutine that waits for it.
#pragma once

#include <grpcpp/completion_queue.h>
#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/slice.h>

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rpc/rpc.h"

namespace sablelink::rpc {

// Wall time, for gRPC's deadlines; main passes the system's.
using WallClock = std::function<std::chrono::system_clock::time_point()>;

// What is given to the queue as tag. complete() runs once, on the queue's thread, and frees the tag.
class Tag {
 public:
  virtual ~Tag() = default;
  virtual void complete(bool ok) = 0;

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

// A tag that posts fn to an executor.
template <typename Fn>
class PostTag : public Tag {
 public:
  PostTag(boost::asio::any_io_executor executor, Fn fn)
      : executor_(std::move(executor)), fn_(std::move(fn)) {}
  void complete(bool ok) override {
    boost::asio::post(executor_, [fn = std::move(fn_), ok]() mutable { fn(ok); });
    delete this;
  }

 private:
  boost::asio::any_io_executor executor_;
  Fn fn_;
};

// Starts an operation with a tag and waits for its completion. keep stays alive until then. Not a coroutine
// itself, and callers that are give start a name first: GCC 12 destroys a lambda that is a temporary of a
// co_await expression twice.
template <typename Start>
Awaitable<bool> await_tag(std::shared_ptr<void> keep, Start start) {
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(bool)>(
      [keep = std::move(keep), start = std::move(start)](auto handler) mutable {
        const boost::asio::any_io_executor executor = boost::asio::get_associated_executor(handler);
        auto done = [keep = std::move(keep), handler = std::move(handler)](bool ok) mutable { handler(ok); };
        start((new PostTag<decltype(done)>(executor, std::move(done)))->give_out());
      },
      boost::asio::use_awaitable);
}

// A completion queue with a thread of its own.
class QueueThread {
 public:
  explicit QueueThread(std::unique_ptr<grpc::CompletionQueue> queue) : queue_(std::move(queue)) {
    thread_ = std::thread([this] {
      void* tag = nullptr;
      bool ok = false;
      while (queue_->Next(&tag, &ok)) static_cast<Tag*>(tag)->take_back()->complete(ok);
    });
  }
  // Waits for all that is out; whatever that needs to end must have been called before.
  ~QueueThread() {
    queue_->Shutdown();
    thread_.join();
  }
  QueueThread(const QueueThread&) = delete;
  QueueThread& operator=(const QueueThread&) = delete;
  grpc::CompletionQueue* queue() { return queue_.get(); }

 private:
  std::unique_ptr<grpc::CompletionQueue> queue_;
  std::thread thread_;
};

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
