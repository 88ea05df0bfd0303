#include "sample.h"

#include <unistd.h>

#include <array>
#include <fstream>
#include <numeric>
#include <sstream>

namespace bluebellpass::bench {
namespace {

using nlohmann::json;

constexpr int kUserTimeField = 11;  ///< in /proc/<pid>/stat, from 0 after the program's name

constexpr std::array kKinds = {"handshake", "heartbeat", "config", "query", "scheduling", "answer"};

double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  // The program's name may contain blanks and ends with the last parenthesis.
  const std::size_t end = text.rfind(')');
  if (end == std::string::npos) return 0;
  std::istringstream fields(text.substr(end + 1));
  std::string skipped;
  for (int i = 0; i < kUserTimeField; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::map<std::string, double> ParseMetrics(const std::string& text) {
  std::map<std::string, double> values;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t blank = line.rfind(' ');
    if (line.empty() || line.front() == '#' || blank == std::string::npos) continue;
    values[line.substr(0, blank)] = std::stod(line.substr(blank + 1));
  }
  return values;
}

double ValueOf(const std::map<std::string, double>& values, const std::string& name) {
  const auto found = values.find(name);
  return found == values.end() ? 0 : found->second;
}

std::map<std::string, double> ReadStoreCalls(test::Cluster& cluster) {
  std::map<std::string, double> calls;
  const auto reply = cluster.Call(cluster.StoreAddress(), "GET", "/control/stats");
  if (!reply) return calls;
  const json stats = json::parse(reply->body, nullptr, false);
  const double watches = stats.value("watches", 0.0);
  const double lists = stats.value("lists", 0.0);
  // The stand-in also counts watches and listings as GETs.
  calls["read"] = stats.value("GET", 0.0) - watches - lists;
  calls["watch"] = watches;
  calls["list"] = lists;
  calls["write"] = stats.value("PUT", 0.0);
  calls["delete"] = stats.value("DELETE", 0.0);
  return calls;
}

}  // namespace

ProcessReading ReadProcess(pid_t pid) {
  ProcessReading reading{.cpu_s = CpuSeconds(pid)};
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) reading.resident_kb = std::stod(line.substr(6));
    if (line.starts_with("VmHWM:")) reading.peak_kb = std::stod(line.substr(6));
  }
  return reading;
}

Reading TakeReading(test::Cluster& cluster, int instances) {
  Reading reading;
  for (int i = 0; i < instances; ++i) {
    const auto reply = cluster.Call(cluster.CallerAddress(i), "GET", "/metrics");
    reading.metrics.push_back(reply ? ParseMetrics(reply->body) : std::map<std::string, double>{});
  }
  reading.store_calls = ReadStoreCalls(cluster);
  for (int i = 0; i < instances; ++i)
    reading.processes.push_back(ReadProcess(cluster.Daemon(i).Pid()));
  reading.at = std::chrono::steady_clock::now();
  return reading;
}

double InstanceMetricGrowth(const Reading& before, const Reading& after, std::size_t instance,
                            const std::string& metric) {
  const std::string name = "bluebellpass_" + metric;
  return ValueOf(after.metrics.at(instance), name) - ValueOf(before.metrics.at(instance), name);
}

double MetricGrowth(const Reading& before, const Reading& after, const std::string& metric) {
  double sum = 0;
  for (std::size_t i = 0; i < after.metrics.size(); ++i)
    sum += InstanceMetricGrowth(before, after, i, metric);
  return sum;
}

std::string TrafficMetric(const std::string& unit, const std::string& direction,
                          const std::string& kind) {
  return "peer_" + unit + "{direction=\"" + direction + "\",kind=\"" + kind + "\"}";
}

double TrafficGrowth(const Reading& before, const Reading& after, const std::string& unit,
                     const std::string& direction) {
  double sum = 0;
  for (const char* kind : kKinds)
    sum += MetricGrowth(before, after, TrafficMetric(unit, direction, kind));
  return sum;
}

double SecondsBetween(const Reading& before, const Reading& after) {
  return std::chrono::duration<double>(after.at - before.at).count();
}

double InstanceCpuSeconds(const Reading& before, const Reading& after, std::size_t instance) {
  return after.processes.at(instance).cpu_s - before.processes.at(instance).cpu_s;
}

double TotalCpuSeconds(const Reading& before, const Reading& after) {
  double sum = 0;
  for (std::size_t i = 0; i < after.processes.size(); ++i)
    sum += InstanceCpuSeconds(before, after, i);
  return sum;
}

double MeanResidentKb(const Reading& reading) {
  double sum = 0;
  for (const ProcessReading& process : reading.processes) sum += process.resident_kb;
  return sum / static_cast<double>(reading.processes.size());
}

}  // namespace bluebellpass::bench
