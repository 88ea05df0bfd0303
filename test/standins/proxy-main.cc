#include <CLI/CLI.hpp>
#include <iostream>

#include "proxy.h"

namespace standin = bluebellpass::standin;

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::string target;
  std::string control = "127.0.0.1:0";
  std::int64_t delay_ms = 0;
  CLI::App app{"Fault-injecting TCP proxy"};
  app.add_option("--listen", listen, "address, IP:PORT")->capture_default_str();
  app.add_option("--target", target, "where connections go, IP:PORT")->required();
  app.add_option("--control", control, "address of the HTTP control interface, IP:PORT")
      ->capture_default_str();
  app.add_option("--delay-ms", delay_ms, "delay one way")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  bluebellpass::EventLoop loop;
  standin::Proxy proxy(loop, standin::ParseAddressFlag(target));
  proxy.SetDelay(bluebellpass::Millis{delay_ms});
  const auto control_address = proxy.ListenControl(standin::ParseAddressFlag(control));
  if (!bluebellpass::IsOk(control_address)) {
    std::cerr << bluebellpass::ErrorOf(control_address).message << '\n';
    return 1;
  }
  std::cout << "control on " << std::get<bluebellpass::Address>(control_address).Text() << '\n';
  return standin::RunUntilSignal(loop, proxy.Listen(standin::ParseAddressFlag(listen)));
}
