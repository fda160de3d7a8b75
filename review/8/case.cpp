// Bad clients send much at once and go, beside usual ones. The query gateway has to stay within its memory
// limit, over which the platform kills it.
//
// Usage: case ROOT TEMPORARY-FOLDER RECORD
#include "../stand_ins_2/load.h"
#include "../stand_ins_2/node.h"
#include "../stand_ins_2/platform.h"

namespace {

constexpr int kNodes = 6;
constexpr int kMemoryMb = 32;
constexpr int kDescriptors = 256;
// Together no more than a third of the descriptors.
constexpr int kUsualClients = 9;
constexpr int kBadClients = 76;
constexpr double kBadStayS = 0.5;
constexpr size_t kStatementBytes = 65'400;
constexpr double kQuietS = 3;
constexpr double kRunS = 30;

std::string long_statement() {
  std::string statement = "SELECT count(*) FROM gallery_3.couples WHERE id IN (1";
  while (statement.size() < kStatementBytes) statement += ",1";
  return statement + ")";
}

// Again and again: connects, sends three requests at once, reads what comes and goes half a second later.
void run_bad_client(int port, unsigned run, std::atomic<unsigned>& number, const std::atomic<bool>& ended) {
  const std::string statement = long_statement();
  while (!ended) {
    const int fd = review::connect_to("127.0.0.1", port);
    if (fd < 0) {
      review::sleep_s(0.05);
      continue;
    }
    std::string requests;
    for (int i = 0; i < 3; ++i)
      requests += review::request_text(review::request_id(run, ++number), "report", 15000, statement);
    size_t sent = 0;
    for (const double until_s = review::now_s() + kBadStayS; review::now_s() < until_s && !ended;) {
      const ssize_t n = send(fd, requests.data() + sent, requests.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) sent += static_cast<size_t>(n);
      if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) break;
      char answer[4096];
      if (recv(fd, answer, sizeof(answer), MSG_DONTWAIT) == 0) break;
      review::sleep_s(0.002);
    }
    review::reset_on_close(fd);
    close(fd);
  }
}

// Kills the query gateway once it holds more memory of its own than its limit. Returns the most seen, in kB.
long watch_memory(review::Gateway& gateway, review::Record& record, const std::atomic<bool>& ended) {
  long most_kb = 0;
  while (!ended) {
    most_kb = std::max(most_kb, gateway.status_kb("RssAnon"));
    if (most_kb > kMemoryMb * 1024L) {
      record.say("the platform kills the query gateway: it holds " + std::to_string(most_kb) +
                 " kB, the limit is " + std::to_string(kMemoryMb) + " MB");
      gateway.send_signal(SIGKILL);
      break;
    }
    review::sleep_s(0.02);
  }
  return most_kb;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return review::kNotRun;
  review::Record record(argv[3]);
  review::raise_descriptor_limit();
  review::NodeFarm::Hooks hooks;
  hooks.work_s = [](const std::string&, const std::string& cls) { return cls == "report" ? 1.0 : 0.2; };
  review::NodeFarm farm(record, hooks);
  review::ChangeLog log(record);
  if (review::add_nodes(farm, log, kNodes).empty()) return review::kNotRun;
  farm.start();
  log.start();
  review::GatewayOptions options;
  options.settings = review::nairobi_settings();
  options.memory_mb = kMemoryMb;
  options.sockets = kDescriptors;
  review::Gateway gateway(record, argv[1], argv[2]);
  if (!gateway.start(options, log.address(), log.known())) {
    record.say("the query gateway didn't start");
    return review::kNotRun;
  }
  const auto run = static_cast<unsigned>(review::unix_ms());
  review::LoadOptions load_options;
  load_options.clients = kUsualClients;
  review::Load load(record, gateway.port(), load_options, run);
  load.start();
  std::atomic<bool> ended{false};
  long most_kb = 0;
  std::thread watch([&] { most_kb = watch_memory(gateway, record, ended); });
  review::sleep_s(kQuietS);
  std::atomic<unsigned> number{0};
  std::vector<std::thread> bad_clients;
  for (int i = 0; i < kBadClients && review::with_trouble(); ++i)
    bad_clients.emplace_back([&] { run_bad_client(gateway.port(), run + 1, number, ended); });
  for (const double until_s = review::now_s() + kRunS; review::now_s() < until_s && !gateway.has_ended();)
    review::sleep_s(0.1);
  const bool crashed = gateway.has_ended();
  ended = true;
  watch.join();
  for (std::thread& client : bad_clients) client.join();
  load.stop();
  record.say("most memory seen: " + std::to_string(most_kb) + " kB; the usual clients: " + load.summary());
  return crashed || load.lost() > 0 ? review::kBroken : review::kHeld;
}
