// Attempts that may still run at an engine though nobody waits for them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/engine_client/engine_attempt.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Keeps attempts of one request from overlapping: an attempt with the client tag of an orphaned one is
/// delayed until the engine has confirmed the cancellation, or must have ended the orphaned attempt by
/// itself.
class OrphanedAttempts {
 public:
  using AttemptPtr = std::shared_ptr<EngineAttempt>;

  /// Adds an attempt that was sent and is no longer waited for.
  void add(const AttemptPtr& attempt);
  /// Keeps a new attempt back while an orphaned one has its client tag. False: it may start now.
  bool delay(const AttemptPtr& attempt);
  /// Forgets a delayed attempt that is no longer wanted.
  void remove_delayed(const AttemptPtr& attempt);

  /// The engine no longer runs the orphaned attempt. Returns the delayed attempts that may start now.
  std::vector<AttemptPtr> on_confirmed(const AttemptPtr& attempt);
  /// Returns the delayed attempts whose orphaned ones must have ended by now.
  std::vector<AttemptPtr> expire(TimeUs now);

 private:
  struct Group {
    std::vector<AttemptPtr> orphaned;  // without confirmation yet
    std::vector<AttemptPtr> delayed;   // in the order in which they came
    TimeUs expires_at = 0;             // by then the engines have ended all orphaned ones
  };

  std::map<std::string, Group> groups_;  // by client tag
};

}  // namespace sablelink::platform
