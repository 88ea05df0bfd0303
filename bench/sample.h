#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/cluster.h"

/// Readings of running daemons and of the object API stand-in, from which docs/CAPACITY.md is
/// derived.

namespace bluebellpass::bench {

/// CPU time and memory of one process at one time.
struct ProcessReading {
  double cpu_s = 0;        ///< user and system time, from /proc/<pid>/stat
  double resident_kb = 0;  ///< VmRSS, from /proc/<pid>/status
  double peak_kb = 0;      ///< VmHWM, from /proc/<pid>/status
};

/// @return the reading; all values are 0 if the process has exited
ProcessReading ReadProcess(pid_t pid);

/// Values of a cluster at one time.
struct Reading {
  TimePoint at;
  std::vector<ProcessReading> processes;               ///< by instance
  std::vector<std::map<std::string, double>> metrics;  ///< by instance, then by name with labels
  std::map<std::string, double> store_calls;           ///< by kind; each call counted once
};

/// Reads all values, the CPU time last, so that it includes the cost of the other readings.
Reading TakeReading(test::Cluster& cluster, int instances);

/// @return the growth of a metric between two readings, summed over all instances
double MetricGrowth(const Reading& before, const Reading& after, const std::string& metric);
/// @return the growth of a metric of one instance
double InstanceMetricGrowth(const Reading& before, const Reading& after, std::size_t instance,
                            const std::string& metric);
/// @return the name and labels of a traffic metric, for example for ("bytes", "sent", "config")
std::string TrafficMetric(const std::string& unit, const std::string& direction,
                          const std::string& kind);
/// @return the growth of the frames or bytes of all kinds, summed over all instances
double TrafficGrowth(const Reading& before, const Reading& after, const std::string& unit,
                     const std::string& direction);
/// @return seconds between two readings
double SecondsBetween(const Reading& before, const Reading& after);
/// @return CPU seconds used by one instance between two readings
double InstanceCpuSeconds(const Reading& before, const Reading& after, std::size_t instance);
/// @return CPU seconds used by all instances between two readings
double TotalCpuSeconds(const Reading& before, const Reading& after);
/// @return mean resident memory of the instances in KB
double MeanResidentKb(const Reading& reading);

}  // namespace bluebellpass::bench
