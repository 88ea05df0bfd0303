#include <CLI/CLI.hpp>

#include "service.h"

namespace standin = bluebellpass::standin;

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::int64_t delay_ms = 20;
  standin::ServiceOptions options;
  CLI::App app{"Stand-in for a plain service that records each execution"};
  app.add_option("--listen", listen, "address, IP:PORT")->capture_default_str();
  app.add_option("--delay-ms", delay_ms, "duration of a call")->capture_default_str();
  app.add_option("--slots", options.slots, "calls that run at a time")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.delay = bluebellpass::Millis{delay_ms};
  bluebellpass::EventLoop loop;
  standin::Service service(loop, options);
  return standin::RunUntilSignal(loop, service.Listen(standin::ParseAddressFlag(listen)));
}
