#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kernel/http-client.h"
#include "load-experiment.h"

namespace bluebellpass::standin {

/// Submits the requests of an experiment to entry daemons as a caller does: takes addresses and
/// tickets from GET /v1/instances, connects directly, and resumes an answer that breaks off.
class LoadDriver {
 public:
  /// @param entries daemons to ask for the list of instances
  LoadDriver(EventLoop& loop, LoadExperiment experiment, std::vector<Address> entries);

  /// Called with the result of each request.
  void OnResult(std::function<void(const LoadResult&)> function) {
    m_on_result = std::move(function);
  }

  void Start();

  /// @return true when all requests have results
  bool IsDone() const;

  /// Ends all requests that have no result yet with the outcome "abandoned".
  void AbandonRequests();

  /// @return counts of the results so far, and of requests without a result as "unfinished"
  Json Summary() const;

 private:
  struct Instance {
    Address address;
    std::string ticket;
  };
  struct Source {
    LoadStream stream;
    std::mt19937_64 random;
    double next_due_s = 0;
    std::uint64_t count = 0;
    bool is_ended = false;
  };
  struct Job {
    const LoadStream* stream = nullptr;
    TimePoint due;
    std::string prompt;
    std::string answer;
    std::string partial_line;
    int status = 0;
    bool is_submitted = false;     ///< bytes of the request may have been received
    bool is_resubmitting = false;  ///< refused by an instance that stops; goes to another one
    std::string key;               ///< idempotency key
    bool is_ended = false;
    LoadResult result;
    std::unique_ptr<HttpCall> call;
  };
  using JobPtr = std::shared_ptr<Job>;

  void FetchInstances();
  void TakeInstances(const HttpResponse& reply);
  void ScheduleArrival(Source& source);
  void Arrive(Source& source, TimePoint due);
  void SendWaiting();
  void Submit(const JobPtr& job);
  void Resume(const JobPtr& job);
  void Retry(const JobPtr& job);
  void StartCall(const JobPtr& job, HttpClientRequest request);
  const Instance& Choose();
  void ReadData(const JobPtr& job, std::string_view bytes);
  void ReadLine(const JobPtr& job, const std::string& line);
  void ReadEndLine(const JobPtr& job, const Json& line);
  void HandleEnd(const JobPtr& job, HttpCallResult end);
  void Finish(const JobPtr& job, const std::string& outcome, const std::string& error);
  Millis TimeLeft(const Job& job) const;

  EventLoop& m_loop;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  LoadExperiment m_experiment;
  std::vector<Address> m_entries;
  std::size_t m_next_entry = 0;
  HttpClient m_client;
  Timer m_refresh;
  TimePoint m_started;
  std::vector<Instance> m_instances;
  std::vector<Source> m_sources;
  std::mt19937_64 m_random;
  std::string m_nonce_prefix;
  std::uint64_t m_next_nonce = 1;
  std::size_t m_arrived = 0;
  std::size_t m_finished = 0;
  std::size_t m_open = 0;
  std::deque<JobPtr> m_waiting;
  std::set<JobPtr> m_running;
  LoadSummary m_summary;
  std::function<void(const LoadResult&)> m_on_result;
};

}  // namespace bluebellpass::standin
