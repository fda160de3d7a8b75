// Byte streams on TCP sockets. Beside gRPC's loop, which waits in gRPC, sockets are waited for on a thread of
// their own, and what comes is handed to the strand; an AsioLoop waits for them itself.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "rpc/byte_stream.h"

namespace sablelink::rpc {

// The strand that streams belong to. post may be called from any thread; all three must outlive the net.
struct Strand {
  boost::asio::any_io_executor executor;
  std::function<void(std::function<void()>)> post;
  Clock& clock;
};

class AsioLoop;

class TcpNet : public Dialer {
 public:
  // Its streams know by reading alone what waits to be read: readable() and peer_left() are false before.
  explicit TcpNet(Strand strand);
  // On the loop's own thread, with no other. Made and ended while the loop doesn't run, or on it.
  explicit TcpNet(AsioLoop& loop);
  // Closes every socket. With a thread of its own it waits until whoever waited for one was told, and must
  // not be on the strand; on an AsioLoop they are told as that runs on.
  ~TcpNet() override;
  TcpNet(const TcpNet&) = delete;
  TcpNet& operator=(const TcpNet&) = delete;

  // Serves connections at host:port, port 0 for any, from now until the net's end; the port. Throws
  // AddressError or ListenError, naming the address, where that can't be.
  int listen(const std::string& address, StreamHandler handler);
  // Serves the connections that are made already, and takes no further ones; those that stand stay.
  void stop_listening();
  boost::asio::any_io_executor executor() const override { return strand_.executor; }
  Awaitable<std::shared_ptr<ByteStream>> connect(std::string address, TimeUs within,
                                                 ConnectEnd* end = nullptr) override;

 private:
  class Socket;
  class Acceptor;

  // To be closed at the end, if it is still there; on the context's thread.
  void keep(const std::shared_ptr<Socket>& socket);

  void on_context(std::function<void()> fn);
  void close_all();

  const Strand strand_;
  std::unique_ptr<boost::asio::io_context> own_;  // with its thread; none on an AsioLoop
  boost::asio::io_context& context_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guard_;
  std::vector<std::weak_ptr<Socket>> sockets_;  // these three on the context's thread
  size_t swept_at_ = 64;
  std::vector<std::shared_ptr<Acceptor>> acceptors_;
  std::thread thread_;
};

}  // namespace sablelink::rpc
