// A simulated network with the seam of rpc/rpc.h: connections between actors, calls on connections, messages
// that take their time, in order on one connection and in no order between two. What gRPC's callers can see
// (tests/transport_test.cpp holds both to it) is kept: corked metadata, deadlines, cancels, statuses that
// this side makes up, bounded buffers. What goes wrong is ordered by the faults below.
//
// Everything on the world's one thread.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rpc/rpc.h"
#include "sim/world.h"

namespace sablelink::sim {

// What passes the sockets, for an observer; of calls alone.
struct CallFacts {
  uint64_t id = 0;
  std::string client, server;  // actors' names
  std::string address;
  std::string method;
  rpc::Metadata metadata;
  TimeUs asked_at = 0;     // when its first message left the client
  TimeUs deadline_at = 0;  // of the world's time, by which the client gives up; 0: never
};

class NetworkTap {
 public:
  virtual ~NetworkTap() = default;
  virtual void call_left(const CallFacts&) {}                        // the client's first message is out
  virtual void call_arrived(const CallFacts&) {}                     // at the server
  virtual void answer_left(const CallFacts&, const rpc::Status&) {}  // the server's end is out
  virtual void call_over_at_server(const CallFacts&) {}              // answered, or it heard of the end
  virtual void answered_again(const CallFacts&) {}                   // a server that ends a call twice
  virtual void call_over(const CallFacts&, const rpc::CallResult&, bool /*from_server*/) {}  // at the client
};

struct LinkTerms {
  TimeUs base_us = 150;            // one way
  double jitter_us = 150;          // mean of an exponential
  size_t window_bytes = 64 << 10;  // unread bytes of a call or stream, each way

  // When what leaves now arrives: later than all before it on the same way, whose latest arrival this takes
  // over. delay_us: added to the way.
  TimeUs arrival(TimeUs now, TimeUs delay_us, RandomStream* random, TimeUs* latest) const {
    const TimeUs way = base_us + static_cast<TimeUs>(random->exponential(jitter_us)) + delay_us;
    *latest = std::max(*latest + 1, now + way);
    return *latest;
  }
};

class Network {
 public:
  Network(World& world, LinkTerms terms, NetworkTap* tap = nullptr);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Channels of an actor; the factory must be gone, and its calls over, before the network is.
  std::unique_ptr<rpc::ChannelFactory> channels(std::shared_ptr<Actor> actor);

  // Serves calls at an address until the listener is closed.
  class Listener;
  std::shared_ptr<Listener> listen(const std::string& address, std::shared_ptr<Actor> actor,
                                   rpc::ServerHandler handler, size_t max_message_bytes = 16 << 20);
  // Breaks off what it serves, as shutdown(0) of a server; handlers end by themselves.
  void close(const std::shared_ptr<Listener>& listener);
  // Calls that its handlers haven't ended.
  size_t running(const std::shared_ptr<Listener>& listener) const;

  // ---- Faults. An address "" means all.
  void refuse(const std::string& address, bool on);     // connections are refused at once
  void swallow(const std::string& address, bool on);    // connections never come about
  void slow(const std::string& address, TimeUs by_us);  // added to every message, each way; 0: over
  // Nothing passes between the two any more and neither hears of it; at the end either all that was sent
  // arrives, as from a line that was repaired, or the connections break.
  void cut(const std::string& client, const std::string& address, TimeUs how_long, bool repaired);
  void reset(const std::string& client, const std::string& address);  // connections that stand break at once
  // The next so many answers of the address are lost: the connection breaks as they leave.
  void lose_answers(const std::string& address, int count);
  // An actor that has died: its calls end where it was, and its connections break on the other side. With no
  // word the other side hears nothing, as when a machine loses its power: connections stay up and swallow
  // what is sent, until something listens there again.
  void died(const std::string& actor, bool no_word);

 private:
  friend class Channel;
  friend class ClientEnd;
  friend class ServerEnd;
  struct Connection;
  struct Call;
  class Channel;
  class ClientEnd;
  class ServerEnd;
  class Factory;

  std::shared_ptr<Connection> connect(const std::shared_ptr<Actor>& client, const std::string& address,
                                      std::function<void(bool)> done);
  // To the server or to the client of a connection, after the way's time; dropped where it has broken.
  void send(const std::shared_ptr<Connection>& connection, bool to_server, std::function<void()> fn);
  // What a side of a broken connection makes of it: its calls end after the way's time, where its process
  // gets to hear of it; at once, where it needn't be told or is dead itself; or not by this.
  enum class Hears { kLater, kAtOnce, kNever };
  void break_connection(const std::shared_ptr<Connection>& connection, Hears client, Hears server,
                        const std::string& why = "the connection broke");
  void end_calls(const std::vector<std::weak_ptr<Call>>& calls, bool at_client, const std::string& why);
  void end_at_client(const std::shared_ptr<Call>& call, rpc::CallResult end, bool from_server);
  void end_at_server(const std::shared_ptr<Call>& call);
  void arrive(const std::shared_ptr<Call>& call);
  void tell_read(const std::shared_ptr<Call>& call, bool to_server, size_t bytes);
  TimeUs slowed(const std::string& address) const;
  bool matches(const std::set<std::string>& addresses, const std::string& address) const;
  void for_connections(const std::string& client, const std::string& address,
                       const std::function<void(const std::shared_ptr<Connection>&)>& fn);

  World& world_;
  const LinkTerms terms_;
  NetworkTap none_;
  NetworkTap& tap_;                                               // none_ where nobody listens
  std::map<std::string, std::shared_ptr<Listener>> listeners_;    // by address
  std::map<uint64_t, std::weak_ptr<Connection>> connections_;     // by number
  std::map<std::pair<std::string, std::string>, uint64_t> made_;  // connections, by client and address
  std::set<std::string> refusing_, swallowing_;
  std::set<std::string> silent_;  // addresses whose machine is gone; until one listens there again
  std::map<std::string, TimeUs> slow_;
  std::map<std::string, int> losing_;
  uint64_t last_connection_ = 0, last_call_ = 0;
};

}  // namespace sablelink::sim
