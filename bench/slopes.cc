#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

#include "sample.h"

/// Measures how a daemon's cost grows with the numbers of instances, configured objects and
/// requests, with daemons and stand-ins as processes on loopback. docs/CAPACITY.md is derived from
/// the results.

namespace bluebellpass::bench {
namespace {

using nlohmann::json;
using test::Cluster;
using test::ClusterOptions;

// Fleets above the full mesh close links used only during the start after 60 s without messages.
constexpr Millis kSettleTimeLarge{75'000};
constexpr Millis kSettleTimeSmall{15'000};
// One period of the instance list, so that each daemon lists the instances once per measurement.
constexpr Millis kMeasureTime{60'000};
constexpr int kMaxFullMesh = 16;
constexpr int kChanges = 5;
constexpr Millis kChangeInterval{3'000};
constexpr Millis kLoadTimeout{90'000};

struct Options {
  std::string part = "all";
  std::vector<int> daemons = {3, 6, 12, 24, 48};
  std::vector<std::string> documents = {"10x5",     "150x5",    "1500x5",    "10x1000",
                                        "10x10000", "10x16000", "1500x10000"};
  std::string out = "results/slopes.json";
  std::string daemon;
};

// --- Idle daemons ---

json IdleRow(int daemons, const Reading& before, const Reading& after) {
  const double seconds = SecondsBetween(before, after);
  const double scale = 1 / (seconds * daemons);
  json calls = json::object();
  for (const auto& [kind, count] : after.store_calls)
    calls[kind] = (count - before.store_calls.at(kind)) / seconds;
  double links = 0;
  for (const auto& metrics : after.metrics) links += metrics.at("bluebellpass_peer_links");
  return {{"daemons", daemons},
          {"seconds", seconds},
          {"cpu_ms_per_s", TotalCpuSeconds(before, after) * 1'000 * scale},
          {"resident_kb", MeanResidentKb(after)},
          {"links", links / daemons},
          {"sent_bytes_per_s", TrafficGrowth(before, after, "bytes", "sent") * scale},
          {"received_bytes_per_s", TrafficGrowth(before, after, "bytes", "received") * scale},
          {"sent_frames_per_s", TrafficGrowth(before, after, "frames", "sent") * scale},
          {"calls_per_s_of_fleet", calls}};
}

json MeasureIdle(int daemons, const std::string& daemon) {
  ClusterOptions options;
  options.daemon_binary = daemon;
  options.instances = daemons;
  options.log_level = "info";
  Cluster cluster(options);
  cluster.RunFor(daemons > kMaxFullMesh ? kSettleTimeLarge : kSettleTimeSmall);
  const Reading before = TakeReading(cluster, daemons);
  cluster.RunFor(kMeasureTime);
  const Reading after = TakeReading(cluster, daemons);
  json row = IdleRow(daemons, before, after);
  const json answer = cluster.RunCommand(0, "show waiting");
  row["missing_in_query"] = answer.is_object() ? answer.at("missing").size() : std::size_t{0};
  row["query_bytes"] =
      MetricGrowth(after, TakeReading(cluster, daemons), TrafficMetric("bytes", "sent", "query"));
  return row;
}

// --- Size of the configuration ---

json MakeBackends(int count) {
  json list = json::array();
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    list.push_back({{"name", "engine-" + number},
                    {"kind", "engine"},
                    {"address", "127.0.0.1:" + std::to_string(1 + i % 1'000)},
                    {"pool", "model-" + std::to_string(i % 17)},
                    {"data_centre", "dc" + std::to_string(i % 13)},
                    {"region", "region" + std::to_string(i % 5)},
                    {"slots", 16}});
  }
  return list;
}

json MakeOrganisations(int count) {
  json list = json::array();
  for (int i = 0; i < count; ++i) list.push_back({{"name", "org-" + std::to_string(i)}});
  return list;
}

/// @return the wall-clock part of a hybrid time, in ms since 1970
std::int64_t HybridMillis(HybridTime time) { return static_cast<std::int64_t>(time >> 16U); }

/// @return the longest time from the first to the last instance that applied a version, in ms
double PropagationMillis(Cluster& cluster, const std::set<std::int64_t>& versions) {
  std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> spans;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (event.name != "config_applied") continue;
    const json line = json::parse(event.json, nullptr, false);
    const auto version = line.value("version", std::int64_t{0});
    if (!versions.contains(version)) continue;
    const std::int64_t at = HybridMillis(event.time);
    auto [found, is_new] = spans.emplace(version, std::pair(at, at));
    found->second.first = std::min(found->second.first, at);
    found->second.second = std::max(found->second.second, at);
  }
  double longest = 0;
  for (const auto& [version, span] : spans)
    longest = std::max(longest, static_cast<double>(span.second - span.first));
  return longest;
}

json MeasureDocument(int daemons, int backends, int organisations, const std::string& daemon) {
  ClusterOptions options;
  options.daemon_binary = daemon;
  options.instances = daemons;
  options.log_level = "info";
  options.extra_config = {{"backend_servers", MakeBackends(backends)},
                          {"organisations", MakeOrganisations(organisations)}};
  Cluster cluster(options);
  cluster.RunFor(kSettleTimeSmall);
  const Reading start = TakeReading(cluster, daemons);
  cluster.RunFor(kChangeInterval * kChanges);
  const Reading before = TakeReading(cluster, daemons);
  std::set<std::int64_t> versions;
  for (int i = 0; i < kChanges; ++i) {
    const json reply =
        cluster.RunCommand(0, "set organisation org-1 weight " + std::to_string(i + 2));
    if (reply.is_object()) versions.insert(reply.value("accepted", std::int64_t{0}));
    cluster.RunFor(kChangeInterval);
  }
  const Reading after = TakeReading(cluster, daemons);
  const double idle_cpu = TotalCpuSeconds(start, before) / SecondsBetween(start, before);
  const double change_cpu =
      TotalCpuSeconds(before, after) - idle_cpu * SecondsBetween(before, after);
  double peak = 0;
  for (const ProcessReading& process : after.processes) peak = std::max(peak, process.peak_kb);
  const double sent = MetricGrowth(before, after, TrafficMetric("bytes", "sent", "config"));
  versions.erase(0);
  return {{"daemons", daemons},
          {"backends", backends},
          {"organisations", organisations},
          {"document_bytes",
           cluster.Call(cluster.StoreAddress(), "GET", "/objects/config/main")->body.size()},
          {"accepted_changes", versions.size()},
          {"idle_cpu_ms_per_s", idle_cpu * 1'000 / daemons},
          {"cpu_ms_per_change", change_cpu * 1'000 / (kChanges * daemons)},
          {"resident_kb", MeanResidentKb(start)},
          {"resident_after_kb", MeanResidentKb(after)},
          {"peak_kb", peak},
          {"spread_bytes_per_change_of_fleet", sent / kChanges},
          {"spread_ms", PropagationMillis(cluster, versions)}};
}

// --- Requests ---

struct LoadCase {
  double rate = 0;
  int tokens = 0;
  double seconds = 0;
};

json RunLoad(Cluster& cluster, int daemons, const LoadCase& load, const std::string& folder) {
  const std::string name = folder + "/load-" + std::to_string(static_cast<int>(load.rate)) + "-" +
                           std::to_string(load.tokens);
  const json stream = {{"organisation", "oficina"}, {"tier", "urgent"},
                       {"pool", "assistant"},       {"rate", load.rate},
                       {"prompt_bytes", 1'000},     {"max_tokens", load.tokens},
                       {"deadline_ms", 10'000},     {"duration_s", load.seconds}};
  std::ofstream(name + ".json") << json{
      {"streams", json::array({stream})},
      {"nearest_probability", 0.3}}.dump();
  std::vector<std::string> command = {std::string(BLUEBELLPASS_BINARY_DIR) + "/standin-load",
                                      "--experiment", name + ".json", "--out", name + ".ndjson"};
  for (int i = 0; i < daemons; ++i) {
    command.emplace_back("--entry");
    command.push_back(cluster.CallerAddress(i).Text());
  }
  test::Process driver(command, name + ".log");
  cluster.RunUntil([&] { return driver.HasExited(nullptr); }, kLoadTimeout);
  std::ifstream in(name + ".log");
  std::string line;
  std::getline(in, line);
  return json::parse(line, nullptr, false).value("total", json::object());
}

json MeasureLoad(Cluster& cluster, int daemons, const LoadCase& load) {
  cluster.RunFor(Millis{2'000});
  const Reading start = TakeReading(cluster, daemons);
  cluster.RunFor(Millis{10'000});
  const Reading before = TakeReading(cluster, daemons);
  const json total = RunLoad(cluster, daemons, load, cluster.LogFolder());
  const Reading after = TakeReading(cluster, daemons);
  const double requests = total.value("sent", 0.0);
  const double idle_cpu = TotalCpuSeconds(start, before) / SecondsBetween(start, before) / daemons;
  json cpu = json::array();
  json resident_growth = json::array();
  for (std::size_t i = 0; i < static_cast<std::size_t>(daemons); ++i) {
    cpu.push_back(
        (InstanceCpuSeconds(before, after, i) - idle_cpu * SecondsBetween(before, after)) * 1'000);
    resident_growth.push_back(after.processes.at(i).resident_kb -
                              before.processes.at(i).resident_kb);
  }
  const std::string frames = TrafficMetric("frames", "sent", "scheduling");
  const std::string answers = TrafficMetric("frames", "sent", "answer");
  return {{"rate", load.rate},
          {"tokens", load.tokens},
          {"sent", requests},
          {"total", total},
          {"owner", cluster.OwnerOf("assistant")},
          {"cpu_ms_by_instance", cpu},
          {"resident_growth_kb_by_instance", resident_growth},
          {"scheduling_frames_per_request", MetricGrowth(before, after, frames) / requests},
          {"scheduling_bytes_per_request",
           MetricGrowth(before, after, TrafficMetric("bytes", "sent", "scheduling")) / requests},
          {"answer_frames_per_request", MetricGrowth(before, after, answers) / requests}};
}

json MeasureRequests(const std::string& daemon) {
  const int daemons = 3;
  ClusterOptions options;
  options.daemon_binary = daemon;
  options.instances = daemons;
  options.log_level = "info";
  options.backends = {{.prefix = "engine-",
                       .kind = "engine",
                       .pool = "assistant",
                       .count = 4,
                       .slots = 64,
                       .flags = {"--prefill-rate", "1000000", "--decode-rate", "1000"}}};
  Cluster cluster(options);
  cluster.RunFor(kSettleTimeSmall);
  json rows = json::array();
  for (const LoadCase& load :
       {LoadCase{25, 16, 15}, LoadCase{100, 16, 15}, LoadCase{200, 16, 15}, LoadCase{50, 256, 15}})
    rows.push_back(MeasureLoad(cluster, daemons, load));
  return rows;
}

void PrintRow(const std::string& part, const json& row) {
  std::cout << part << ' ';
  for (const auto& [name, value] : row.items()) std::cout << name << '=' << value.dump() << ' ';
  std::cout << std::endl;
}

int Main(int argc, char** argv) {
  CLI::App app("Measures the slopes of docs/CAPACITY.md.");
  Options options;
  app.add_option("--part", options.part, "idle, documents, requests or all")
      ->check(CLI::IsMember({"idle", "documents", "requests", "all"}));
  app.add_option("--daemons", options.daemons, "numbers of idle daemons");
  app.add_option("--documents", options.documents, "backend servers x organisations, as in 10x5");
  app.add_option("--daemon", options.daemon, "path of another build's daemon, to compare with");
  app.add_option("--out", options.out, "file for the results, JSON");
  CLI11_PARSE(app, argc, argv);
  json results = {
      {"idle", json::array()}, {"documents", json::array()}, {"requests", json::array()}};
  const auto is_chosen = [&](const std::string& part) {
    return options.part == "all" || options.part == part;
  };
  if (is_chosen("idle")) {
    for (const int daemons : options.daemons) {
      results["idle"].push_back(MeasureIdle(daemons, options.daemon));
      PrintRow("idle", results["idle"].back());
    }
  }
  if (is_chosen("documents")) {
    for (const std::string& size : options.documents) {
      const std::size_t cross = size.find('x');
      results["documents"].push_back(MeasureDocument(
          3, std::stoi(size.substr(0, cross)), std::stoi(size.substr(cross + 1)), options.daemon));
      PrintRow("document", results["documents"].back());
    }
  }
  if (is_chosen("requests")) {
    results["requests"] = MeasureRequests(options.daemon);
    for (const json& row : results["requests"]) PrintRow("requests", row);
  }
  const auto folder = std::filesystem::path(options.out).parent_path();
  if (!folder.empty()) std::filesystem::create_directories(folder);
  std::ofstream out(options.out);
  out << results.dump(2) << '\n';
  return out ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::bench

int main(int argc, char** argv) {
  // An uncaught exception might not unwind the stack, and the child processes would keep running.
  try {
    return bluebellpass::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "slopes: " << error.what() << '\n';
    return 1;
  }
}
