#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/cluster.h"

/// Readings of running daemons and of the object API stand-in, for the capacity page.

namespace bluebellpass::bench {

/// Figures of one process at one time.
struct ProcessReading {
  double cpu_s = 0;        ///< user and system time, from /proc/<pid>/stat
  double resident_kb = 0;  ///< VmRSS, from /proc/<pid>/status
  double peak_kb = 0;      ///< VmHWM, from /proc/<pid>/status
};

/// @return the reading, zero when the process is gone
ProcessReading ReadProcess(pid_t pid);

/// Figures of a cluster at one time.
struct Reading {
  TimePoint at;
  std::vector<ProcessReading> processes;               ///< by instance
  std::vector<std::map<std::string, double>> metrics;  ///< by instance; name with labels to value
  std::map<std::string, double> store_calls;           ///< by kind; each counted call once
};

/// Reads processor time last, so that it includes the cost of the readings before it.
Reading Read(test::Cluster& cluster, int instances);

/// @return the sum over instances of the growth of a metric between two readings
double Growth(const Reading& before, const Reading& after, const std::string& metric);
/// @return the growth of a metric of one instance
double GrowthAt(const Reading& before, const Reading& after, std::size_t instance,
                const std::string& metric);
/// @return the name of a traffic gauge, such as TrafficName("bytes", "sent", "config")
std::string TrafficName(const std::string& unit, const std::string& direction,
                        const std::string& kind);
/// @return the growth of frames or bytes of all kinds, summed over instances
double TrafficGrowth(const Reading& before, const Reading& after, const std::string& unit,
                     const std::string& direction);
/// @return seconds between two readings
double SecondsBetween(const Reading& before, const Reading& after);
/// @return processor seconds used by one instance between two readings
double CpuAt(const Reading& before, const Reading& after, std::size_t instance);
/// @return the same, summed over all instances
double CpuGrowth(const Reading& before, const Reading& after);
/// @return mean resident memory of the instances in KB
double MeanResident(const Reading& reading);

}  // namespace bluebellpass::bench
