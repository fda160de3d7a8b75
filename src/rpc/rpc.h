// The seam between the protocol code and what carries its messages. One call is a stream of messages each
// way, with metadata before, a status and trailers after; that is gRPC's model, and grpc_server.h and
// grpc_client.h implement it on gRPC. A simulated network implements the same interface.
//
// Threads: every method is called, and every awaited result arrives, on the strand given at construction.
// At most one read and one write (or finish) of a call may be awaited at a time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "workload/types.h"

namespace sablelink::rpc {

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

// Codes of gRPC's public status table.
enum class Code {
  kOk = 0,
  kCancelled = 1,
  kUnknown = 2,
  kInvalidArgument = 3,
  kDeadlineExceeded = 4,
  kNotFound = 5,
  kAlreadyExists = 6,
  kPermissionDenied = 7,
  kResourceExhausted = 8,
  kFailedPrecondition = 9,
  kAborted = 10,
  kOutOfRange = 11,
  kUnimplemented = 12,
  kInternal = 13,
  kUnavailable = 14,
  kDataLoss = 15,
  kUnauthenticated = 16,
};
std::string_view code_name(Code code);

struct Status {
  Code code = Code::kOk;
  std::string message;
  std::string details;  // a serialised google.rpc.Status, or empty
  bool ok() const { return code == Code::kOk; }
};

// Keys in lower case; values of keys that end in "-bin" are bytes.
using Metadata = std::vector<std::pair<std::string, std::string>>;
// The first value of a key, or an empty view.
std::string_view find_value(const Metadata& metadata, std::string_view key);

// One call that a client has made here. Destroying it before finish() breaks the call off.
class ServerCall {
 public:
  virtual ~ServerCall() = default;
  virtual const std::string& method() const = 0;  // "/package.Service/Method"
  virtual const Metadata& metadata() const = 0;
  virtual const std::string& peer() const = 0;  // the client's connection
  // How long the client is sure to wait, from when the call came; none where it waits without end.
  virtual std::optional<TimeUs> allowed() const = 0;
  virtual Awaitable<std::optional<std::string>> read() = 0;  // none: the client has ended its stream, or left
  virtual Awaitable<bool> write(std::string message) = 0;    // false: the call is broken
  // Ends the call, with a last message where given; false: the end may not have reached the client.
  virtual Awaitable<bool> finish(Status status, Metadata trailers, std::optional<std::string> last) = 0;
  // Called once when the client cancels, its deadline passes or its connection breaks; at once if it has.
  virtual void on_cancelled(std::function<void()> fn) = 0;
  virtual bool cancelled() const = 0;
};

using ServerHandler = std::function<Awaitable<void>(std::shared_ptr<ServerCall>)>;

// How a call to a server ended. A status that this side made up, as for a broken connection, has no trailers.
struct CallEnd {
  Status status;
  Metadata trailers;
};

// One call made to a server. Destroying it cancels what is still out.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  virtual Awaitable<bool> write(std::string message, bool last) = 0;  // false: the call is broken
  virtual Awaitable<std::optional<std::string>> read() = 0;  // none: no more messages; finish() tells
  virtual Awaitable<CallEnd> finish() = 0;                   // once, after read() gave none
  virtual void cancel() = 0;                                 // may be called at any time
};

class Channel {
 public:
  virtual ~Channel() = default;
  // True once a connection stands; false where it can't be had within the time. Nothing of a call made
  // later is sent before, so false proves that the server has seen nothing.
  virtual Awaitable<bool> connect(TimeUs within) = 0;
  // Starts a call; allow is its time-out on both sides, 0 for none.
  virtual std::unique_ptr<ClientCall> call(std::string method, Metadata metadata, TimeUs allow) = 0;
};

class ChannelFactory {
 public:
  virtual ~ChannelFactory() = default;
  virtual std::unique_ptr<Channel> open(const std::string& address) = 0;  // "host:port"
};

}  // namespace sablelink::rpc
