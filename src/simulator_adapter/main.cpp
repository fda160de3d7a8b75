// Speaks the simulator's wire on standard input and output until the input ends.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/simulator_host.h"

namespace {

constexpr size_t kChunkBytes = size_t{1} << 20;

// Appends n bytes of standard input; false where the input ends first. Grows in steps, so that a wrong length
// doesn't claim its memory up front.
bool read_bytes(std::string& out, size_t n) {
  while (n > 0) {
    const size_t old = out.size();
    out.resize(old + std::min(n, kChunkBytes));
    const size_t got = std::fread(out.data() + old, 1, out.size() - old, stdin);
    out.resize(old + got);
    if (got == 0) return false;
    n -= got;
  }
  return true;
}

int run() {
  using sablelink::simulator_adapter::kHeaderBytes;
  sablelink::simulator_adapter::SimulatorHost host;
  for (;;) {
    std::string head;
    if (!read_bytes(head, kHeaderBytes)) {
      if (head.empty()) return 0;
      throw sablelink::simulator_adapter::ProtocolError("wire: input ended inside a batch header");
    }
    const auto header = sablelink::simulator_adapter::read_header(head);
    std::string body;
    if (!read_bytes(body, header.body_bytes)) {
      throw sablelink::simulator_adapter::ProtocolError("wire: input ended inside a batch");
    }
    const std::string frame = host.handle(header.now, body);
    if (std::fwrite(frame.data(), 1, frame.size(), stdout) != frame.size() || std::fflush(stdout) != 0) {
      throw sablelink::simulator_adapter::ProtocolError("wire: the reply could not be written");
    }
  }
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablelink_benchlink: %s\n", e.what());
    return 1;
  }
}
