// Clients send a second request while the first one on their connection is in progress. Then a planned
// restart begins. Every request had come whole before SIGTERM, so each has to be answered.
//
// Usage: case ROOT TEMPORARY-FOLDER RECORD
#include "../stand_ins_2/load.h"
#include "../stand_ins_2/node.h"
#include "../stand_ins_2/platform.h"

namespace {

constexpr int kNodes = 4;
constexpr int kConnections = 12;
constexpr double kFirstWorkS = 1.0;
constexpr double kSecondWorkS = 0.2;
constexpr int kTimeoutMs = 7500;

struct Client {
  int fd = -1;
  std::string ids[2];
  review::Answer answers[2];
};

void send_request(const Client& client, int index, review::Record& record) {
  const std::string statement = "SELECT * FROM gallery_3.couples WHERE tag = '" + client.ids[index] + "'";
  review::send_all(client.fd, review::request_text(client.ids[index], index == 0 ? "report" : "lookup",
                                                   kTimeoutMs, statement));
  record.line("client SEND " + client.ids[index] + (index == 0 ? ", the first" : ", the second") +
              " on its connection");
}

void read_answers(Client& client, review::Record& record) {
  review::MessageReader reader(client.fd);
  const double until_s = review::now_s() + kTimeoutMs / 1000.0 + 0.5;
  for (int i = 0; i < 2; ++i) {
    client.answers[i] = review::read_answer(reader, until_s);
    const review::Answer& answer = client.answers[i];
    record.line(std::string("client ") + review::result_name(answer.result) + " " + client.ids[i] +
                (answer.end == review::ReadResult::kEnd ? ", the query gateway ended the connection" : "") +
                (answer.message.field("connection").empty() ? "" : ", Connection: close"));
  }
  close(client.fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return review::kNotRun;
  review::Record record(argv[3]);
  review::NodeFarm::Hooks hooks;
  hooks.work_s = [](const std::string&, const std::string& cls) {
    return cls == "report" ? kFirstWorkS : kSecondWorkS;
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
  review::sleep_s(1);
  const auto run = static_cast<unsigned>(review::unix_ms());
  std::vector<Client> clients(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    clients[i].fd = review::connect_to("127.0.0.1", gateway.port());
    for (int k = 0; k < 2; ++k) clients[i].ids[k] = review::request_id(run, static_cast<unsigned>(2 * i + k));
    send_request(clients[i], 0, record);
  }
  review::sleep_s(0.2);
  for (const Client& client : clients) send_request(client, 1, record);
  review::sleep_s(0.2);
  const double term_s = review::now_s();
  if (review::with_trouble()) {
    record.say("SIGTERM");
    gateway.send_signal(SIGTERM);
  }
  std::vector<std::thread> threads;
  for (Client& client : clients) threads.emplace_back([&client, &record] { read_answers(client, record); });
  for (std::thread& thread : threads) thread.join();
  int unanswered = 0;
  for (const Client& client : clients)
    for (const review::Answer& answer : client.answers)
      unanswered +=
          answer.result == review::Result::kNoAnswer || answer.result == review::Result::kUnreadable;
  record.say(std::to_string(2 * kConnections) + " requests, " + std::to_string(unanswered) +
             " without an answer; the last answer or end came " + std::to_string(review::now_s() - term_s) +
             " s after SIGTERM, the kill comes after 3.7 s");
  return unanswered > 0 ? review::kBroken : review::kHeld;
}
