// The simulator's adapter: reads batches from standard input and writes a reply to each to standard output,
// until the input ends. Exit code: 0 at the end of the input, 1 after an error.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/codec.h"
#include "simulator_adapter/simulator_host.h"

namespace {

using sablelink::simulator_adapter::BatchHeader;
using sablelink::simulator_adapter::kHeaderBytes;
using sablelink::simulator_adapter::ProtocolError;
using sablelink::simulator_adapter::SimulatorHost;

constexpr size_t kReadChunkBytes = size_t{1} << 20;

// Reads count bytes from standard input, or fewer if the input ends first. The buffer grows in chunks, so
// that memory isn't allocated in advance for an invalid length.
std::string read_up_to(size_t count) {
  std::string bytes;
  while (bytes.size() < count) {
    const size_t old_size = bytes.size();
    bytes.resize(old_size + std::min(count - old_size, kReadChunkBytes));
    const size_t received = std::fread(bytes.data() + old_size, 1, bytes.size() - old_size, stdin);
    bytes.resize(old_size + received);
    if (received == 0) break;
  }
  return bytes;
}

void write_reply(const std::string& frame) {
  const bool written = std::fwrite(frame.data(), 1, frame.size(), stdout) == frame.size();
  if (!written || std::fflush(stdout) != 0) throw ProtocolError("wire: the reply could not be written");
}

void serve_until_end_of_input() {
  SimulatorHost host;
  for (;;) {
    const std::string header_bytes = read_up_to(kHeaderBytes);
    if (header_bytes.empty()) return;
    if (header_bytes.size() < kHeaderBytes) throw ProtocolError("wire: input ended inside a batch header");
    const BatchHeader header = sablelink::simulator_adapter::read_batch_header(header_bytes);
    const std::string body = read_up_to(header.body_bytes);
    if (body.size() < header.body_bytes) throw ProtocolError("wire: input ended inside a batch");
    write_reply(host.handle_batch(header.now, body));
  }
}

}  // namespace

int main() {
  try {
    serve_until_end_of_input();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablelink_simulator_adapter: %s\n", e.what());
    return 1;
  }
}
