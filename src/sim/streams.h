// Simulated byte streams that implement rpc/byte_stream.h. Reads and writes transfer a random part of the
// bytes; data is delayed, and connections can be refused or break. Everything runs on the world's thread.
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
  Streams(World& world, LinkSettings settings) : world_(world), settings_(settings) {}
  Streams(const Streams&) = delete;
  Streams& operator=(const Streams&) = delete;

  void listen(const std::string& address, std::shared_ptr<Actor> actor, rpc::StreamHandler handler);
  // Returns the stream, or the reason for which there was no connection within the time.
  rpc::Awaitable<rpc::ConnectResult> connect(std::shared_ptr<Actor> client, std::string address,
                                             TimeUs timeout);
  void unlisten(const std::string& address) { listeners_.erase(address); }  // keeps open connections
  void reset(const std::string& address);                                   // breaks open connections at once

 private:
  class End;
  struct Connection;
  struct Listener {
    std::shared_ptr<Actor> actor;
    rpc::StreamHandler handler;
  };

  // Runs fn at a side (0: client, 1: server) after the network delay, in order. Discards it if the connection
  // has broken.
  void send(const std::shared_ptr<Connection>& c, int to, std::function<void()> fn);
  static void break_side(const std::shared_ptr<Connection>& c, int side);

  World& world_;
  const LinkSettings settings_;
  std::map<std::string, Listener> listeners_;
  std::map<std::string, uint64_t> connection_counts_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace sablelink::sim
