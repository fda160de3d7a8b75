// A simulated network that implements the interfaces of rpc/rpc.h: connections between actors, calls on
// connections, and messages with delays. Messages of one connection and direction arrive in order; between
// connections there is no order. What a user of gRPC can observe is the same (tests/transport_test.cpp tests
// both): metadata sent with the first message, deadlines, cancellation, locally generated statuses and
// bounded buffers. Failures are injected by the methods below.
//
// Everything runs on the world's thread.
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

// The description of a call for an observer.
struct CallInfo {
  uint64_t id = 0;
  std::string client, server;  // names of the actors
  std::string address;
  std::string method;
  rpc::Metadata metadata;
  TimeUs sent_at = 0;      // when the client sent its first message
  TimeUs deadline_at = 0;  // when the client's timeout ends, by the world's clock; 0: none
};

// Is notified of the events of all calls.
class NetworkObserver {
 public:
  virtual ~NetworkObserver() = default;
  // The client sent the call's first message, and the server received it.
  virtual void on_call_sent(const CallInfo&) {}
  virtual void on_call_received(const CallInfo&) {}
  // The server sent the final status.
  virtual void on_response_sent(const CallInfo&, const rpc::Status&) {}
  // The server responded, or learned that the call was cancelled or its connection broke.
  virtual void on_call_ended_at_server(const CallInfo&) {}
  // The server sent a final status for the second time.
  virtual void on_duplicate_response(const CallInfo&) {}
  // from_server: the status came from the server; else the client's side generated it.
  virtual void on_call_ended_at_client(const CallInfo&, const rpc::CallResult&, bool /*from_server*/) {}
};

struct LinkSettings {
  TimeUs base_us = 150;            // one way
  double jitter_us = 150;          // mean of an exponential distribution
  size_t window_bytes = 64 << 10;  // maximum of unread bytes of a call or stream, each way

  // Returns the time of arrival of a message sent now: later than `*latest`, the latest arrival so far in the
  // same direction, which is updated. `delay_us` is an additional delay.
  TimeUs next_arrival(TimeUs now, TimeUs delay_us, RandomStream* random, TimeUs* latest) const {
    const TimeUs delay = base_us + static_cast<TimeUs>(random->exponential(jitter_us)) + delay_us;
    *latest = std::max(*latest + 1, now + delay);
    return *latest;
  }
};

class Network {
 public:
  Network(World& world, LinkSettings settings, NetworkObserver* observer = nullptr);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Creates the client connections of an actor. The network must outlive the factory and its calls.
  std::unique_ptr<rpc::ChannelFactory> channels(std::shared_ptr<Actor> actor);

  // Serves calls at an address until the listener is closed.
  class Listener;
  std::shared_ptr<Listener> listen(const std::string& address, std::shared_ptr<Actor> actor,
                                   rpc::ServerHandler handler, size_t max_message_bytes = 16 << 20);
  // Cancels the calls that it serves, like shutdown(0) of a server; handlers end by themselves.
  void close(const std::shared_ptr<Listener>& listener);
  // The number of calls whose handlers haven't ended.
  size_t running(const std::shared_ptr<Listener>& listener) const;

  // ---- Faults. The address "" stands for all addresses.
  // refuse_connections(): new connections are refused at once; blackhole(): they are never established.
  void refuse_connections(const std::string& address, bool on);
  void blackhole(const std::string& address, bool on);
  // Delays every message in both directions; 0: no additional delay.
  void set_added_delay(const std::string& address, TimeUs delay_us);
  // Buffers all messages between client and address without notifying either. At the end they are delivered
  // if `repaired` is set; else the connections break.
  void interrupt(const std::string& client, const std::string& address, TimeUs duration, bool repaired);
  // Breaks the open connections at once.
  void reset(const std::string& client, const std::string& address);
  // Breaks the connection of each of the next `count` responses of the address as it is sent.
  void lose_responses(const std::string& address, int count);
  // Must be called after an actor was killed. Ends its calls, breaks its connections and notifies their other
  // sides. With `power_loss`, the actor's clients aren't notified: their connections stay open and discard
  // what is sent, until an actor listens at the address again.
  void actor_died(const std::string& actor, bool power_loss);

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
                                      std::function<void(bool)> on_result);
  // Runs fn at the server or the client of a connection after the network delay. Discards it if the
  // connection has broken.
  void send(const std::shared_ptr<Connection>& connection, bool to_server, std::function<void()> fn);
  // When the calls at one side of a broken connection end: after the network delay, if its process has yet to
  // be notified; immediately, if it broke the connection itself or has been killed; or never.
  enum class Notify { kDelayed, kImmediately, kNever };
  void break_connection(const std::shared_ptr<Connection>& connection, Notify client, Notify server,
                        const std::string& why = "the connection broke");
  void end_calls(const std::vector<std::weak_ptr<Call>>& calls, bool at_client, const std::string& why);
  void end_at_client(const std::shared_ptr<Call>& call, rpc::CallResult result, bool from_server);
  void end_at_server(const std::shared_ptr<Call>& call);
  void start_handler(const std::shared_ptr<Call>& call);
  void acknowledge_read(const std::shared_ptr<Call>& call, bool to_server, size_t bytes);
  TimeUs added_delay(const std::string& address) const;
  bool matches(const std::set<std::string>& addresses, const std::string& address) const;
  void for_each_connection(const std::string& client, const std::string& address,
                           const std::function<void(const std::shared_ptr<Connection>&)>& fn);

  World& world_;
  const LinkSettings settings_;
  NetworkObserver no_observer_;
  NetworkObserver& observer_;                                   // no_observer_ if none was given
  std::map<std::string, std::shared_ptr<Listener>> listeners_;  // by address
  std::map<uint64_t, std::weak_ptr<Connection>> connections_;   // by number
  // The number of connections made so far, by client and address.
  std::map<std::pair<std::string, std::string>, uint64_t> connection_counts_;
  std::set<std::string> refused_addresses_, blackholed_addresses_;
  std::set<std::string> powered_off_addresses_;  // until an actor listens there again
  std::map<std::string, TimeUs> added_delays_;
  std::map<std::string, int> responses_to_lose_;
  uint64_t last_connection_ = 0, last_call_ = 0;
};

}  // namespace sablelink::sim
