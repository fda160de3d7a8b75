// Connects to and listens at TCP addresses. On an AsioLoop, the sockets run on the loop's thread. For other
// strands, such as that of a GrpcLoop, which waits in gRPC, the transport has a separate I/O thread, which
// passes the results to the strand.
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

/// The strand to which the streams belong. All three members must outlive the transport.
struct Strand {
  boost::asio::any_io_executor executor;
  /// Schedules a function on the strand; may be called from any thread.
  std::function<void(std::function<void()>)> post;
  Clock& clock;
};

class TcpTransport : public Dialer {
 public:
  /// Runs the sockets on a separate I/O thread. readable() and peer_closed() of its streams reflect only the
  /// results of reads.
  explicit TcpTransport(Strand strand);
  /// Runs the sockets on the loop's thread. Must be constructed and destroyed on the loop, or while the loop
  /// isn't running.
  explicit TcpTransport(AsioLoop& loop);
  /// Closes every socket; the streams may be destroyed later. With a separate I/O thread, this waits until
  /// every operation has completed and must not be called on the strand. On an AsioLoop, the operations
  /// complete when the loop continues to run.
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  /// Starts to accept connections at "host:port" and returns the port; port 0 selects any free port. Throws
  /// AddressError or ListenError with the address.
  int listen(const std::string& address, StreamHandler handler);
  /// Closes the listeners. Connections that are established or waiting to be accepted are still served.
  void stop_listening();

  boost::asio::any_io_executor executor() const override { return strand_.executor; }
  Awaitable<ConnectResult> connect(std::string address, TimeUs timeout_us) override;

 private:
  class Listener;

  // The following are called only on the io_context's thread.
  std::shared_ptr<TcpSocket> make_socket() const;
  void register_socket(const std::shared_ptr<TcpSocket>& socket);
  void close_all();

  const Strand strand_;
  const TcpContext context_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_guard_;
  // The following are used only on the io_context's thread.
  std::vector<std::weak_ptr<TcpSocket>> sockets_;  // closed by the destructor
  size_t cleanup_threshold_;                       // size of sockets_ at which expired pointers are removed
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::thread io_thread_;  // not joinable on an AsioLoop
};

}  // namespace sablelink::rpc
