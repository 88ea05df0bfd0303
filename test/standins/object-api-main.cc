#include <CLI/CLI.hpp>

#include "object-api.h"

namespace standin = bluebellpass::standin;

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  CLI::App app{"Stand-in for the platform's object API"};
  app.add_option("--listen", listen, "address, IP:PORT")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  bluebellpass::EventLoop loop;
  standin::ObjectApi api(loop);
  return standin::RunUntilSignal(loop, api.Listen(standin::ParseAddressFlag(listen)));
}
