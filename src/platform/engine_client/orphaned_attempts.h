// Attempts that may still run on an engine although their results are no longer needed.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/engine_client/engine_attempt.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Prevents attempts of one request from overlapping. An attempt with the client tag of an orphaned attempt
/// is delayed until the engine has confirmed the orphaned attempt's cancellation or must have abandoned it.
/// An engine that may still read the start has not abandoned the attempt.
class OrphanedAttempts {
 public:
  using AttemptPtr = std::shared_ptr<EngineAttempt>;

  /// Adds an attempt that was sent and whose result is no longer needed.
  void add(const AttemptPtr& attempt);
  /// Delays a new attempt if an orphaned attempt has its client tag. Returns false if it may start now.
  bool delay_if_needed(const AttemptPtr& attempt);
  /// Removes an attempt from the delayed ones, if it is delayed.
  void remove_delayed(const AttemptPtr& attempt);
  bool contains(const AttemptPtr& attempt) const;

  /// Removes an orphaned attempt that its engine no longer runs. Returns the delayed attempts that may start.
  std::vector<AttemptPtr> on_attempt_ended(const AttemptPtr& attempt);
  /// Removes the orphaned attempts that can no longer delay another attempt, and returns them.
  std::vector<AttemptPtr> expire(TimeUs now);

 private:
  struct Group {
    std::vector<AttemptPtr> orphaned;  // not confirmed as ended
    std::vector<AttemptPtr> delayed;   // in order of arrival

    bool is_expired(TimeUs now) const;
  };

  std::map<std::string, Group> groups_;  // by client tag
};

}  // namespace sablelink::platform
