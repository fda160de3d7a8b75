// The log follows one attempt by its tag through all of its calls.
#include "platform/engine_client/engine_call_log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/platform/engine_client/engine_client_harness.h"

namespace sablelink::test {
namespace {

// Collects the records as "event key=value ...".
class RecordingLog : public Log {
 public:
  void write(LogLevel, std::string_view event, LogFields fields) override {
    std::string line(event);
    for (const auto& [key, value] : fields) line += " " + std::string(key) + "=" + value;
    lines.push_back(line);
  }
  bool is_enabled(LogLevel) const override { return true; }
  std::vector<std::string> lines;
};

TEST(EngineCallLog, RecordsNameTheAttemptTheEngineAndTheConnection) {
  RecordingLog log;
  const platform::EngineCallLog call_log(log);
  const auto attempt = std::make_shared<platform::EngineAttempt>(dispatch::AttemptId{7, 1}, 3,
                                                                 make_spec("9b1f03aa5c7e2d41"), 0, nullptr);
  const platform::EngineCall call{platform::CallType::kStart, attempt};
  const std::string address = "10.0.0.1:10080";
  call_log.call_sent({call, address, 5});
  call_log.call_interrupted({call, address, 5}, platform::CallFailure::kTimedOut);
  call_log.trailing_bytes({call, address, 5}, 12);
  call_log.attempt_released(*attempt);
  const std::string attempt_fields = " tag=9b1f03aa5c7e2d41 request=7 attempt=1";
  const std::string call_fields = attempt_fields + " call=start engine=10.0.0.1:10080 connection=5";
  EXPECT_EQ(log.lines, (std::vector<std::string>{"engine_call_sent" + call_fields + " page=0",
                                                 "engine_call_interrupted" + call_fields + " reason=timeout",
                                                 "engine_trailing_bytes" + call_fields + " bytes=12",
                                                 "attempt_released" + attempt_fields}));
}

TEST(EngineCallLog, FailedDialNamesTheEngineTheReasonAndTheWaitingCalls) {
  RecordingLog log;
  const platform::EngineCallLog call_log(log);
  call_log.dial_failed(3, "10.0.0.1:10080", rpc::ConnectStatus::kRefused, 2);
  EXPECT_EQ(log.lines,
            (std::vector<std::string>{
                "engine_dial_failed engine=10.0.0.1:10080 engine_id=3 reason=refused pending_calls=2"}));
}

}  // namespace
}  // namespace sablelink::test
