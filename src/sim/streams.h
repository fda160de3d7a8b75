// Simulated byte streams behind rpc/byte_stream.h: pieces of a size that the seed draws, read and written in
// part, delays, connections that are refused and that break. Everything on the world's one thread.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rpc/byte_stream.h"
#include "sim/network.h"
#include "sim/world.h"

namespace sablelink::sim {

class Streams {
 public:
  Streams(World& world, LinkTerms terms) : world_(world), terms_(terms) {}
  Streams(const Streams&) = delete;
  Streams& operator=(const Streams&) = delete;

  void listen(const std::string& address, std::shared_ptr<Actor> actor, rpc::StreamHandler handler);
  // Nothing where no connection came about within the time; end tells why.
  rpc::Awaitable<rpc::ConnectResult> connect(std::shared_ptr<Actor> client, std::string address,
                                             TimeUs within);
  void unlisten(const std::string& address) { listeners_.erase(address); }  // connections that stand stay
  void reset(const std::string& address);                                   // its connections break at once

 private:
  class End;
  struct Connection;
  struct Listener {
    std::shared_ptr<Actor> actor;
    rpc::StreamHandler handler;
  };

  // To a side after the way's time, in order; dropped where the connection has broken.
  void send(const std::shared_ptr<Connection>& c, int to, std::function<void()> fn);
  static void break_side(const std::shared_ptr<Connection>& c, int side);

  World& world_;
  const LinkTerms terms_;
  std::map<std::string, Listener> listeners_;
  std::map<std::string, uint64_t> made_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace sablelink::sim
