// Interface of remote procedure calls, modelled on gRPC's: a call has a stream of messages in each direction,
// with metadata before them and a status and trailers after them. grpc_server.h and grpc_client.h implement
// it on gRPC, sim/network.h in the simulation.
//
// Every method must be called on the strand given at construction, and coroutines are resumed there. At most
// one read and one write (or finish) of a call may be in flight.
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
/// Returns the code's name, such as "NOT_FOUND"; "UNKNOWN" for invalid values.
std::string_view code_name(Code code);

struct Status {
  Code code = Code::kOk;
  std::string message;
  std::string details;  // a serialised google.rpc.Status, or empty
  bool ok() const { return code == Code::kOk; }
};

/// Keys are in lower case; values of keys that end in "-bin" are arbitrary bytes.
using Metadata = std::vector<std::pair<std::string, std::string>>;
/// Returns the first value of the key; empty where there is none.
std::string_view find_value(const Metadata& metadata, std::string_view key);

/// A call received from a client. Destroying it before finish() cancels the call.
class ServerCall {
 public:
  virtual ~ServerCall() = default;
  virtual const std::string& method() const = 0;  // "/package.Service/Method"
  virtual const Metadata& metadata() const = 0;
  /// Identifies the client's connection.
  virtual const std::string& peer() const = 0;
  /// The time for which the client waits at least, in microseconds from the call's arrival; nullopt where it
  /// set no time-out.
  virtual std::optional<TimeUs> client_timeout_us() const = 0;
  /// Returns the next message; nullopt where the client has ended its stream or disconnected.
  virtual Awaitable<std::optional<std::string>> read() = 0;
  /// Sends a message; false where the call is broken.
  virtual Awaitable<bool> write(std::string message) = 0;
  /// Sends the last message, if there is one, and ends the call. False where the status may not have reached
  /// the client.
  virtual Awaitable<bool> finish(Status status, Metadata trailers, std::optional<std::string> last) = 0;
  /// Calls fn once, when the client cancels the call, its deadline passes or its connection breaks; at once
  /// if that has happened already.
  virtual void on_cancelled(std::function<void()> fn) = 0;
  virtual bool cancelled() const = 0;
};

using ServerHandler = std::function<Awaitable<void>(std::shared_ptr<ServerCall>)>;

/// The end of a call to a server. Where the status was made locally, as for a broken connection, there are no
/// trailers.
struct CallResult {
  Status status;
  Metadata trailers;
};

/// A call made to a server. Destroying it cancels the call.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  /// Sends a message; false where the call is broken. last: no further message follows.
  virtual Awaitable<bool> write(std::string message, bool last) = 0;
  /// Returns the next message; nullopt after the last one, when finish() returns the reason.
  virtual Awaitable<std::optional<std::string>> read() = 0;
  /// Must be called once, after read() has returned nullopt.
  virtual Awaitable<CallResult> finish() = 0;
  /// May be called at any time.
  virtual void cancel() = 0;
};

/// A connection to a server. It reconnects where the connection has broken.
class Channel {
 public:
  virtual ~Channel() = default;
  /// Waits until the channel is connected; false where that fails or takes longer than the time-out. Calls
  /// made later aren't sent before this succeeds, so false proves that the server has received nothing of
  /// them.
  virtual Awaitable<bool> connect(TimeUs timeout_us) = 0;
  /// Starts a call. The time-out applies to both sides; 0 for none.
  virtual std::unique_ptr<ClientCall> call(std::string method, Metadata metadata, TimeUs timeout_us) = 0;
};

class ChannelFactory {
 public:
  virtual ~ChannelFactory() = default;
  /// address: "host:port".
  virtual std::unique_ptr<Channel> open(const std::string& address) = 0;
};

}  // namespace sablelink::rpc
