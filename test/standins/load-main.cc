#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "load-driver.h"

namespace standin = bluebellpass::standin;

namespace {

constexpr bluebellpass::Millis kSignalPollPeriod{50};

std::atomic<bool> g_is_signalled{false};

void OnSignal(int /*signal*/) { g_is_signalled = true; }

int RunLoad(const std::string& text, const std::vector<std::string>& entries, std::ostream& out) {
  const auto experiment = standin::ParseExperiment(text);
  if (!bluebellpass::IsOk(experiment)) {
    std::cerr << "experiment: " << bluebellpass::ErrorOf(experiment).message << '\n';
    return 2;
  }
  std::vector<bluebellpass::Address> addresses;
  addresses.reserve(entries.size());
  for (const std::string& entry : entries) addresses.push_back(standin::ParseAddressFlag(entry));
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  bluebellpass::EventLoop loop;
  standin::LoadDriver driver(loop, std::get<standin::LoadExperiment>(experiment), addresses);
  driver.OnResult([&](const auto& result) { out << standin::ToJson(result).dump() << '\n'; });
  driver.Start();
  while (!driver.IsDone() && !g_is_signalled) loop.RunOnce(kSignalPollPeriod);
  out.flush();
  std::cout << driver.Summary().dump() << std::endl;
  return out ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> entries;
  std::string path;
  std::string out_path;
  CLI::App app{"Load driver: submits the requests of an experiment and reports their outcomes"};
  app.add_option("--entry", entries, "daemon to ask for instances, IP:PORT; repeatable")
      ->required();
  app.add_option("--experiment", path, "experiment file, JSON")->required();
  app.add_option("--out", out_path, "file for one JSON line per request")->required();
  CLI11_PARSE(app, argc, argv);
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  std::ofstream out(out_path);
  if (!in || !out) {
    std::cerr << "cannot open " << (in ? out_path : path) << '\n';
    return 2;
  }
  return RunLoad(text.str(), entries, out);
}
