#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

#include "cluster/cluster.h"

/// Measures the latency that daemons add to a direct call of an engine, on loopback and without
/// other load. The paths are called in turn in one run; the result is the median and the 99th
/// percentile of each.

namespace bluebellpass::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kDefaultCalls = 500;

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

ClusterOptions MakeOptions() {
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

/// Calls an engine directly, as the backend driver does.
/// @return the latency in ms, or -1 if the call failed
double DirectCall(Cluster& cluster, const Address& engine, int index) {
  const nlohmann::json body = {{"model", "assistant"},   {"input", "q" + std::to_string(index)},
                               {"max_output_tokens", 1}, {"stream", true},
                               {"background", true},     {"metadata", {{"request_id", "d"}}}};
  const auto start = Clock::now();
  const auto reply = cluster.Call(engine, "POST", "/v1/responses", body.dump());
  return reply ? MillisSince(start) : -1;
}

/// Submits a request through an instance.
/// @param id request id; empty to let the instance assign one
/// @return the latency in ms, or -1 if the request was not completed
double DaemonCall(Cluster& cluster, int instance, const std::string& id, int index) {
  const auto start = Clock::now();
  const auto response =
      cluster.Submit(instance, EngineBody("q" + std::to_string(index), "urgent", 1), id);
  cluster.RunUntil([&] { return response->is_done; });
  return response->outcome == "completed" ? MillisSince(start) : -1;
}

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto position = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[position];
}

void Print(const char* name, const std::vector<double>& values, const std::vector<double>& direct) {
  std::printf("%-44s p50 %6.2f ms  p99 %6.2f ms  added p50 %+6.2f ms  p99 %+6.2f ms\n", name,
              Quantile(values, 0.5), Quantile(values, 0.99),
              Quantile(values, 0.5) - Quantile(direct, 0.5),
              Quantile(values, 0.99) - Quantile(direct, 0.99));
}

/// @return the time in ms from the start of a daemon to its first completed request
double MeasureStartTime() {
  ClusterOptions options = MakeOptions();
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

  Cluster cluster(MakeOptions());
  cluster.WaitForMembers();
  const int owner = cluster.OwnerOf("assistant");
  const int other = (owner + 1) % 3;
  const Address engine = cluster.BackendAddress("engine1");
  std::vector<double> direct;
  std::vector<double> home_is_owner;
  std::vector<double> home_is_not_owner;
  std::vector<double> forwarded;
  int failed = 0;
  const auto add_call = [&](std::vector<double>& times, double millis) {
    if (millis < 0) {
      ++failed;
    } else {
      times.push_back(millis);
    }
  };
  for (int i = 0; i < calls; ++i) {
    add_call(direct, DirectCall(cluster, engine, i));
    add_call(home_is_owner, DaemonCall(cluster, owner, "", i));
    add_call(home_is_not_owner, DaemonCall(cluster, other, "", i));
    add_call(forwarded, DaemonCall(cluster, other, cluster.NewId(owner), i));
  }
  Print("direct call (caller, engine)", direct, direct);
  Print("home is the owner (caller, home, engine)", home_is_owner, direct);
  Print("home and owner apart (one more round trip)", home_is_not_owner, direct);
  Print("forwarded to the home (one more hop)", forwarded, direct);
  std::printf("calls of each kind: %d, failed: %d\n", calls, failed);
  std::printf("start of a daemon to its first answered request: %.0f ms\n", MeasureStartTime());
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
