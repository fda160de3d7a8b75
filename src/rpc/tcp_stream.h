// Byte streams on TCP sockets. Sockets are waited for on a thread of their own, since the loop of gRPC waits
// in gRPC; what comes is handed to the strand.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
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

class TcpNet {
 public:
  explicit TcpNet(Strand strand);
  // Closes every socket and waits until whoever waited for one was told. Not on the strand.
  ~TcpNet();
  TcpNet(const TcpNet&) = delete;
  TcpNet& operator=(const TcpNet&) = delete;

  // Serves connections at host:port, port 0 for any, from now until the net's end; the port. Throws
  // std::runtime_error with the address where that can't be.
  int listen(const std::string& address, StreamHandler handler);
  // Nothing where no connection came about within the time.
  Awaitable<std::shared_ptr<ByteStream>> connect(std::string address, TimeUs within);

 private:
  class Socket;
  class Acceptor;

  // To be closed at the end, if it is still there; on the context's thread.
  void keep(const std::shared_ptr<Socket>& socket);

  const Strand strand_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  bool ending_ = false;  // these three on the context's thread
  std::vector<std::weak_ptr<Socket>> sockets_;
  std::vector<std::shared_ptr<Acceptor>> acceptors_;
  std::thread thread_;
};

}  // namespace sablelink::rpc
