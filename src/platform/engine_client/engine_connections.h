// Open connections to one engine, with the call that each of them carries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>

#include "http/reader.h"
#include "platform/engine_client/call_queue.h"
#include "rpc/byte_stream.h"
#include "workload/types.h"

namespace sablelink::platform {

/// A connection to an engine, which carries one call at a time.
struct EngineConnection {
  EngineConnection(std::shared_ptr<rpc::ByteStream> byte_stream, uint64_t connection_number, TimeUs now);

  bool is_idle() const { return !pending_call; }

  const std::shared_ptr<rpc::ByteStream> stream;
  const uint64_t number;  // counted from 1 over all engines
  http::ResponseReader reader;
  std::optional<EngineCall> pending_call;  // sent, without a complete response
  /// The pending call is a start or a cancellation that has timed out. The connection stays open, because a
  /// response or the end of the connection may be the only proof that the engine cannot read the call later.
  bool is_overdue = false;
  /// The response to the pending call is a complete result, which is held back until it is known that no
  /// further bytes follow it: they would show that its length was wrong.
  bool holds_result = false;
  TimeUs call_deadline = 0;
  TimeUs available_at = 0;  // no call is sent before this time
  TimeUs idle_since = 0;
  bool closed = false;
};
using EngineConnectionPtr = std::shared_ptr<EngineConnection>;

/// The open connections to one engine. Pure: opens and closes nothing.
class EngineConnections {
 public:
  struct Availability {
    EngineConnectionPtr connection;  // longest idle one; null: none is available now
    size_t soon_available = 0;       // connections in their reuse delay
    TimeUs next_available_at = 0;    // earliest end of a reuse delay; 0: none
  };

  void add(const EngineConnectionPtr& connection) { connections_.push_back(connection); }
  void remove(const EngineConnectionPtr& connection) { connections_.remove(connection); }

  const std::list<EngineConnectionPtr>& all() const { return connections_; }
  bool empty() const { return connections_.empty(); }
  size_t overdue_count() const;
  /// Number of connections that carry, or can carry, a call that has not timed out.
  size_t usable_count() const { return connections_.size() - overdue_count(); }

  Availability check_availability(TimeUs now) const;
  /// The connection without a call since the longest time; null: none.
  EngineConnectionPtr longest_idle() const;
  /// The connection whose call timed out first; null: none.
  EngineConnectionPtr longest_overdue() const;

 private:
  std::list<EngineConnectionPtr> connections_;
};

}  // namespace sablelink::platform
