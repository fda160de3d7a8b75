// A rolling deploy replaces a batch of the warehouse nodes of a large fleet: their processes end under work,
// and the change log tells that they are gone. The query gateway has to go on answering its clients.
//
// Usage: case ROOT TEMPORARY-FOLDER RECORD
#include "../stand_ins_2/load.h"
#include "../stand_ins_2/node.h"
#include "../stand_ins_2/platform.h"

namespace {

constexpr int kNodes = 3200;
constexpr int kGateways = 900;  // of the fleet; one of them is played
constexpr int kBatch = 608;     // 19% of them
constexpr double kNoticeS = 0.9;

std::string host_of(int index) {
  return "127.7." + std::to_string(1 + index / 200) + "." + std::to_string(1 + index % 200);
}

std::string name_of(int index) { return "s-" + std::to_string(100000 + index); }

double work_of(const std::string& cls) { return cls == "report" ? 3.8 : 0.3; }

// The batch's processes end; after the notice, the change log tells that they are gone.
void replace_batch(review::NodeFarm& farm, const std::vector<review::Node*>& nodes, review::ChangeLog& log,
                   review::Record& record) {
  std::vector<review::Host> gone;
  size_t running = 0;
  for (int i = 0; i < kBatch; ++i) {
    running += farm.kill(*nodes[i]).size();
    gone.push_back({nodes[i]->name, nodes[i]->dial(), "gone"});
  }
  record.say("the processes of " + std::to_string(kBatch) + " of " + std::to_string(kNodes) +
             " nodes ended, under " + std::to_string(running) + " running queries");
  review::sleep_s(kNoticeS);
  log.add(review::fleet_event(2, false, gone));
  record.say("the change log told that these nodes are gone");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return review::kNotRun;
  review::Record record(argv[3]);
  review::raise_descriptor_limit();
  review::NodeFarm::Hooks hooks;
  hooks.work_s = [](const std::string&, const std::string& cls) { return work_of(cls); };
  review::NodeFarm farm(record, hooks);
  review::ChangeLog log(record);
  std::vector<review::Node*> nodes;
  std::vector<review::Host> hosts;
  for (int i = 0; i < kNodes; ++i) {
    review::Node* const node = farm.add(name_of(i), host_of(i), 0);
    if (node == nullptr) {
      record.say("no socket for node " + std::to_string(i));
      return review::kNotRun;
    }
    nodes.push_back(node);
    hosts.push_back({node->name, node->dial(), "ready"});
  }
  log.add(review::fleet_event(1, true, hosts));
  farm.start();
  log.start();
  review::GatewayOptions options;
  options.settings = review::nairobi_settings(kGateways);
  review::Gateway gateway(record, argv[1], argv[2]);
  if (!gateway.start(options, log.address(), log.known())) {
    record.say("the query gateway didn't start");
    return review::kNotRun;
  }
  review::LoadOptions load_options;
  load_options.clients = 48;
  review::Load load(record, gateway.port(), load_options, static_cast<unsigned>(review::unix_ms()));
  load.start();
  review::sleep_s(8);
  if (review::with_trouble()) replace_batch(farm, nodes, log, record);
  review::sleep_s(6);
  const double cpu_before_s = gateway.cpu_s();
  review::sleep_s(4);
  record.say("processor time of the query gateway in 4 s: " + std::to_string(gateway.cpu_s() - cpu_before_s) +
             " s; health check answered: " + (gateway.healthy(2) ? "yes" : "no"));
  load.stop();
  record.say(load.summary());
  if (gateway.has_ended()) record.say("the query gateway's process has ended");
  return load.lost() > 0 || gateway.has_ended() ? review::kBroken : review::kHeld;
}
