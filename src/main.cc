#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "cli/client.h"
#include "cli/timeline.h"
#include "config/address.h"
#include "config/settings.h"
#include "front/daemon.h"
#include "kernel/loop.h"
#include "platform/platform.h"
#include "platform/settings-file.h"

namespace bluebellpass {
namespace {

constexpr int kExitUsage = 2;
constexpr char kVersion[] = "bluebellpass 0.1.0";
constexpr char kHelp[] =
    R"(Usage: bluebellpass serve [flags]           run the entry daemon (serve --help)
       bluebellpass gateway [flags]         run the pass-through gateway (gateway --help)
       bluebellpass timeline [flags]        print the merged events (timeline --help)
       bluebellpass COMMAND... [--json] [--entry ip:port]

Operators' commands:
  show waiting|running|refused|backends|instances|config|quarantine|rollouts
       [where FIELD=VALUE [and FIELD=VALUE]...]
  set tier NAME rank N | set tier NAME share N | set organisation NAME weight N
  drain backend NAME | activate backend NAME
  shift pool NAME from DATACENTRE to DATACENTRE percent N
  release FINGERPRINT
  load backend NAME model MODEL [version VERSION]
rollouts: of the gateway, whose entry is the metrics address of an instance.

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 partial answer.
)";

int RunDaemon(const std::vector<std::string>& args) {
  CLI::App app("Runs the entry daemon.", "bluebellpass serve");
  SettingsParser parser(app);
  if (const auto code = ParseArguments(app, args, std::cout, std::cerr)) return *code;
  Result<Settings> settings = parser.Read(ProcessEnvironment());
  if (!IsOk(settings)) {
    std::cerr << "bluebellpass: " << ErrorOf(settings).message << '\n';
    return kExitUsage;
  }
  if (std::get<Settings>(settings).is_check) {
    std::cout << DescribeSettings(std::get<Settings>(settings));
    return 0;
  }
  Daemon daemon(std::get<Settings>(std::move(settings)));
  return daemon.Run();
}

int RunGateway(const std::vector<std::string>& args) {
  CLI::App app("Passes callers' requests on to backend servers, on the users' platform.",
               "bluebellpass gateway");
  std::string path;
  bool is_check = false;
  app.add_option("--settings", path, "the platform's settings file (YAML)")
      ->required()
      ->envname(platform::kSettingsVariable);
  app.add_flag("--check", is_check, "validate the settings file and exit");
  if (const auto code = ParseArguments(app, args, std::cout, std::cerr)) return *code;
  Result<gateway::Settings> settings = platform::ReadSettingsFile(path);
  if (!IsOk(settings)) {
    std::cerr << "bluebellpass: " << ErrorOf(settings).message << '\n';
    return kExitUsage;
  }
  if (is_check) return 0;
  gateway::Gateway gateway(platform::MakePlatform(path),
                           std::get<gateway::Settings>(std::move(settings)));
  return gateway.Run();
}

int PrintTimeline(const std::vector<std::string>& args) {
  CLI::App app("Prints the events of all instances in one order.", "bluebellpass timeline");
  std::vector<std::string> entries;
  TimelineOptions options;
  app.add_option("--entry", entries, "ip:port of an instance; repeatable")
      ->required()
      ->envname("BLUEBELLPASS_ENTRY")
      ->delimiter(',');
  app.add_option("--request", options.request, "only events of this request id");
  app.add_flag("--chrome", options.is_chrome, "write trace JSON for Chrome's viewer");
  if (const auto code = ParseArguments(app, args, std::cout, std::cerr)) return *code;
  for (const std::string& entry : entries) {
    const Result<Address> address = ParseAddress(entry);
    if (!IsOk(address)) {
      std::cerr << "bluebellpass: --entry " << entry << " is not ip:port\n";
      return kExitUsage;
    }
    options.entries.push_back(std::get<Address>(address));
  }
  return RunTimeline(options);
}

int Main(std::vector<std::string> args) {
  if (args.empty() || args[0] == "--help" || args[0] == "help") {
    std::cout << kHelp;
    return args.empty() ? kExitUsage : 0;
  }
  if (args[0] == "--version") {
    std::cout << kVersion << '\n';
    return 0;
  }
  const std::string subcommand = args[0];
  if (subcommand == "serve" || subcommand == "gateway" || subcommand == "timeline") {
    args.erase(args.begin());
    if (subcommand == "gateway") return RunGateway(args);
    return subcommand == "serve" ? RunDaemon(args) : PrintTimeline(args);
  }
  EventLoop loop;
  return static_cast<int>(RunClient(loop, args, ProcessEnvironment(), std::cout, std::cerr));
}

}  // namespace
}  // namespace bluebellpass

int main(int argc, char** argv) {
  return bluebellpass::Main(std::vector<std::string>(argv + 1, argv + argc));
}
