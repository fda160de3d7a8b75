// One of eight good answers of the warehouse nodes arrives with a length that doesn't fit: any number up to
// twice its true length. The query gateway must not serve a part of a result as the whole.
//
// Usage: case ROOT TEMPORARY-FOLDER RECORD
#include <random>

#include "../stand_ins_2/load.h"
#include "../stand_ins_2/node.h"
#include "../stand_ins_2/platform.h"

namespace {

constexpr int kNodes = 6;
constexpr unsigned kOneOf = 8;
constexpr unsigned kSeed = 55;
constexpr double kRunS = 60;

// The answer with another number in Content-Length, from 0 to twice the true one.
std::string with_wrong_length(const std::string& answer, std::mt19937& random) {
  const std::string name = "Content-Length: ";
  const size_t from = answer.find(name) + name.size();
  const size_t end = answer.find("\r\n", from);
  const unsigned long length = std::stoul(answer.substr(from, end - from));
  std::uniform_int_distribution<unsigned long> any(0, 2 * length);
  return answer.substr(0, from) + std::to_string(any(random)) + answer.substr(end);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return review::kNotRun;
  review::Record record(argv[3]);
  const bool trouble = review::with_trouble();
  std::mutex mutex;
  std::mt19937 random(kSeed);
  unsigned good_ends = 0;
  unsigned spoilt = 0;
  review::NodeFarm::Hooks hooks;
  hooks.work_s = [](const std::string&, const std::string& cls) { return cls == "report" ? 0.5 : 0.05; };
  hooks.send = [&](int fd, const review::Message&, const std::string& answer, bool good_end) {
    std::string sent = answer;
    bool is_spoilt = false;
    if (trouble && good_end) {
      const std::lock_guard<std::mutex> lock(mutex);
      is_spoilt = ++good_ends % kOneOf == 0;
      if (is_spoilt) {
        ++spoilt;
        sent = with_wrong_length(answer, random);
        record.line("node sends a length that doesn't fit: " + sent.substr(0, sent.find("\r\n\r\n")));
      }
    }
    return review::send_all(fd, sent);
  };
  review::NodeFarm farm(record, hooks);
  review::ChangeLog log(record);
  if (review::add_nodes(farm, log, kNodes).empty()) return review::kNotRun;
  farm.start();
  log.start();
  review::GatewayOptions options;
  options.settings = review::nairobi_settings();
  review::Gateway gateway(record, argv[1], argv[2]);
  if (!gateway.start(options, log.address(), log.known())) {
    record.say("the query gateway didn't start");
    return review::kNotRun;
  }
  review::LoadOptions load_options;
  load_options.clients = 16;
  review::Load load(record, gateway.port(), load_options, static_cast<unsigned>(review::unix_ms()));
  load.start();
  review::sleep_s(kRunS);
  load.stop();
  record.say("answers with a length that doesn't fit: " + std::to_string(spoilt));
  record.say(load.summary());
  return load.lost() > 0 || gateway.has_ended() ? review::kBroken : review::kHeld;
}
