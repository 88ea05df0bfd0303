#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

#include "cluster/cluster.h"

/// Measures what the way through the daemons adds to a direct call of an engine, on loopback and
/// without other load: median and 99th percentile, all ways taken in turn in one run.

namespace bluebellpass::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kDefaultCalls = 500;

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

ClusterOptions Options() {
  ClusterOptions options;
  options.log_level = "warning";
  options.backends = {{"engine",
                       "engine",
                       "assistant",
                       1,
                       4,
                       {"--prefill-rate", "100000000", "--decode-rate", "100000000"}}};
  return options;
}

/// Calls one engine directly, as the driver does.
double DirectCall(Cluster& cluster, const Address& engine, int number) {
  const nlohmann::json body = {{"model", "assistant"},   {"input", "q" + std::to_string(number)},
                               {"max_output_tokens", 1}, {"stream", true},
                               {"background", true},     {"metadata", {{"request_id", "d"}}}};
  const auto start = Clock::now();
  const auto reply = cluster.Call(engine, "POST", "/v1/responses", body.dump());
  return reply ? MillisSince(start) : -1;
}

double DaemonCall(Cluster& cluster, int instance, const std::string& id, int number) {
  const auto start = Clock::now();
  const auto view =
      cluster.Submit(instance, EngineBody("q" + std::to_string(number), "urgent", 1), id);
  cluster.RunUntil([&] { return view->is_done; });
  return view->outcome == "completed" ? MillisSince(start) : -1;
}

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[place];
}

void Print(const char* name, const std::vector<double>& values, const std::vector<double>& direct) {
  std::printf("%-44s p50 %6.2f ms  p99 %6.2f ms  added p50 %+6.2f ms  p99 %+6.2f ms\n", name,
              Quantile(values, 0.5), Quantile(values, 0.99),
              Quantile(values, 0.5) - Quantile(direct, 0.5),
              Quantile(values, 0.99) - Quantile(direct, 0.99));
}

double StartToFirstRequest() {
  ClusterOptions options = Options();
  Cluster cluster(options);
  cluster.Daemon(0).Kill();
  const auto start = Clock::now();
  cluster.Restart(0);
  while (DaemonCall(cluster, 0, "", 0) < 0 && MillisSince(start) < 10'000) {
  }
  return MillisSince(start);
}

int Main(int argc, char** argv) {
  CLI::App app("Measures the delay that the daemons add to a direct call.");
  int calls = kDefaultCalls;
  app.add_option("--calls", calls, "calls of each kind");
  CLI11_PARSE(app, argc, argv);

  Cluster cluster(Options());
  cluster.WaitForMembers();
  const int owner = cluster.OwnerOf("assistant");
  const int other = (owner + 1) % 3;
  const Address engine = cluster.BackendAddress("engine1");
  std::vector<double> direct;
  std::vector<double> at_owner;
  std::vector<double> at_home;
  std::vector<double> forwarded;
  int failed = 0;
  const auto add = [&](std::vector<double>& list, double millis) {
    if (millis < 0) {
      ++failed;
    } else {
      list.push_back(millis);
    }
  };
  for (int i = 0; i < calls; ++i) {
    add(direct, DirectCall(cluster, engine, i));
    add(at_owner, DaemonCall(cluster, owner, "", i));
    add(at_home, DaemonCall(cluster, other, "", i));
    add(forwarded, DaemonCall(cluster, other, cluster.NewId(owner), i));
  }
  Print("direct call (caller, engine)", direct, direct);
  Print("home is the owner (caller, home, engine)", at_owner, direct);
  Print("home and owner apart (one more round trip)", at_home, direct);
  Print("forwarded to the home (one more hop)", forwarded, direct);
  std::printf("calls of each kind: %d, failed: %d\n", calls, failed);
  std::printf("start of a daemon to its first answered request: %.0f ms\n", StartToFirstRequest());
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
