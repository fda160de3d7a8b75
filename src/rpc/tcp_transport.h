// Connects to and listens at TCP addresses. On an AsioLoop, the loop itself waits for the sockets. For other
// strands, such as gRPC's loop, which waits in gRPC, a thread of its own waits for them and hands the results
// to the strand.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "rpc/byte_stream.h"
#include "rpc/tcp_socket.h"

namespace sablelink::rpc {

class AsioLoop;

/// The strand that streams belong to. All three parts must outlive the transport.
struct Strand {
  boost::asio::any_io_executor executor;
  /// Runs a function on the strand; may be called from any thread.
  std::function<void(std::function<void()>)> post;
  Clock& clock;
};

class TcpTransport : public Dialer {
 public:
  /// Waits for its sockets on a thread of its own. readable() and peer_closed() of its streams only know what
  /// a read has found.
  explicit TcpTransport(Strand strand);
  /// Waits for its sockets on the loop's thread. Constructed and destroyed on the loop or while it doesn't
  /// run.
  explicit TcpTransport(AsioLoop& loop);
  /// Closes every socket. With a thread of its own it waits until every operation has completed, and must not
  /// be called on the strand; on an AsioLoop the operations complete when the loop runs on.
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  /// Serves connections at "host:port" from now on; port 0 takes any free one. Returns the port. Throws
  /// AddressError or ListenError, naming the address.
  int listen(const std::string& address, StreamHandler handler);
  /// Closes the listeners. Connections that are established or wait to be accepted are still served.
  void stop_listening();

  boost::asio::any_io_executor executor() const override { return strand_.executor; }
  Awaitable<ConnectResult> connect(std::string address, TimeUs timeout_us) override;

 private:
  class Listener;

  // The following run on the io_context's thread.
  std::shared_ptr<TcpSocket> make_socket() const;
  void register_socket(const std::shared_ptr<TcpSocket>& socket);
  void close_all();

  const Strand strand_;
  std::unique_ptr<boost::asio::io_context> own_io_;  // nullptr on an AsioLoop
  const TcpContext context_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_guard_;
  // Used on the io_context's thread.
  std::vector<std::weak_ptr<TcpSocket>> sockets_;  // to be closed at the end
  size_t sweep_threshold_;                         // number of sockets at which expired ones are dropped
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::thread io_thread_;  // not joinable on an AsioLoop
};

}  // namespace sablelink::rpc
