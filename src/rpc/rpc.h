// The interface between protocol code and what carries its messages, after gRPC's model: a call is a stream
// of messages each way, with metadata before them and a status and trailers after them. grpc_server.h and
// grpc_client.h implement it on gRPC, sim/network.h in simulated worlds.
//
// Every method is called, and every awaited result arrives, on the strand given at construction. At most one
// read and one write (or finish) of a call may be in flight.
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

/// gRPC's status codes.
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
/// For example "NOT_FOUND"; "UNKNOWN" for a value that isn't a code.
std::string_view code_name(Code code);

struct Status {
  Code code = Code::kOk;
  std::string message;
  std::string details;  // a serialised google.rpc.Status, or empty
  bool ok() const { return code == Code::kOk; }
};

/// Keys are in lower case; values of keys that end in "-bin" are arbitrary bytes.
using Metadata = std::vector<std::pair<std::string, std::string>>;
/// The first value of the key; empty where there is none.
std::string_view find_value(const Metadata& metadata, std::string_view key);

/// A call received from a client. Destroying it before finish() cancels the call.
class ServerCall {
 public:
  virtual ~ServerCall() = default;
  virtual const std::string& method() const = 0;  // "/package.Service/Method"
  virtual const Metadata& metadata() const = 0;
  /// Identifies the client's connection.
  virtual const std::string& peer() const = 0;
  /// The time that the client waits at least, in microseconds from the call's arrival; none for no time-out.
  virtual std::optional<TimeUs> client_timeout_us() const = 0;
  /// None where the client has ended its stream or disconnected.
  virtual Awaitable<std::optional<std::string>> read() = 0;
  /// False where the call is broken.
  virtual Awaitable<bool> write(std::string message) = 0;
  /// Ends the call, after a last message where one is given. False where the status may not have reached the
  /// client.
  virtual Awaitable<bool> finish(Status status, Metadata trailers, std::optional<std::string> last) = 0;
  /// fn is called once when the client cancels, its deadline passes or its connection breaks; at once where
  /// that has happened already.
  virtual void on_cancelled(std::function<void()> fn) = 0;
  virtual bool cancelled() const = 0;
};

using ServerHandler = std::function<Awaitable<void>(std::shared_ptr<ServerCall>)>;

/// How a call to a server ended. A status made on this side, as for a broken connection, has no trailers.
struct CallResult {
  Status status;
  Metadata trailers;
};

/// A call made to a server. Destroying it cancels the call.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  /// last: no further message follows. False where the call is broken.
  virtual Awaitable<bool> write(std::string message, bool last) = 0;
  /// None after the last message; finish() has the reason.
  virtual Awaitable<std::optional<std::string>> read() = 0;
  /// To be called once, after read() has returned none.
  virtual Awaitable<CallResult> finish() = 0;
  /// May be called at any time.
  virtual void cancel() = 0;
};

/// A connection to a server, which is made anew where it has broken.
class Channel {
 public:
  virtual ~Channel() = default;
  /// True once connected; false where that takes longer than the time-out. Nothing of a later call is sent
  /// before, so false proves that the server has seen nothing of it.
  virtual Awaitable<bool> connect(TimeUs timeout_us) = 0;
  /// Starts a call. The time-out applies on both sides; 0 for none.
  virtual std::unique_ptr<ClientCall> call(std::string method, Metadata metadata, TimeUs timeout_us) = 0;
};

class ChannelFactory {
 public:
  virtual ~ChannelFactory() = default;
  /// address: "host:port".
  virtual std::unique_ptr<Channel> open(const std::string& address) = 0;
};

}  // namespace sablelink::rpc
