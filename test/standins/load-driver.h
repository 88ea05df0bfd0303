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

/// Submits the requests of an experiment as a caller does: gets addresses and tickets from
/// GET /v1/instances, connects to the instances directly, and resumes an answer after its
/// connection is lost.
class LoadDriver {
 public:
  /// @param entries daemons that are asked for the list of instances
  LoadDriver(EventLoop& loop, LoadExperiment experiment, std::vector<Address> entries);

  /// Sets a function that is called with the result of each request.
  void OnResult(std::function<void(const LoadResult&)> function) {
    m_on_result = std::move(function);
  }

  void Start();

  /// @return true when all requests have been created and have results
  bool IsDone() const;

  /// Creates no more requests and ends those without a result, with the outcome "not_sent" or
  /// "abandoned".
  void AbandonRequests();

  /// @return counts of the results so far, and as "unfinished" the number of requests without one
  Json Summary() const;

 private:
  struct Instance {
    Address address;
    std::string ticket;
  };
  struct ArrivalProcess {
    LoadStream stream;
    std::mt19937_64 random;
    double next_due_s = 0;
    std::uint64_t count = 0;
    bool is_ended = false;
  };
  struct PendingRequest {
    const LoadStream* stream = nullptr;
    TimePoint due;
    std::string prompt;
    std::string answer;
    std::string partial_line;
    int status = 0;
    bool is_possibly_submitted = false;  ///< an instance may have received it
    bool is_resubmitting = false;  ///< rejected by a stopping instance; will be sent to another
    std::string idempotency_key;
    bool is_ended = false;
    LoadResult result;
    std::unique_ptr<HttpCall> call;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void FetchInstances();
  void UpdateInstances(const HttpResponse& response);
  void ScheduleArrival(ArrivalProcess& process);
  void AddArrival(ArrivalProcess& process, TimePoint due);
  void SendWaiting();
  void Submit(const PendingRequestPtr& request);
  void Resume(const PendingRequestPtr& request);
  void Retry(const PendingRequestPtr& request);
  void StartCall(const PendingRequestPtr& request, HttpClientRequest call_request);
  const Instance& ChooseInstance();
  void AppendData(const PendingRequestPtr& request, std::string_view bytes);
  void ReadLine(const PendingRequestPtr& request, const std::string& line);
  void ReadEndLine(const PendingRequestPtr& request, const Json& line);
  void HandleCallEnd(const PendingRequestPtr& request, HttpCallResult end);
  void FinishRequest(const PendingRequestPtr& request, const std::string& outcome,
                     const std::string& error);
  Millis TimeLeft(const PendingRequest& request) const;

  EventLoop& m_loop;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  LoadExperiment m_experiment;
  std::vector<Address> m_entries;
  std::size_t m_next_entry = 0;
  HttpClient m_client;
  Timer m_refresh_timer;
  TimePoint m_started;
  std::vector<Instance> m_instances;
  std::vector<ArrivalProcess> m_arrival_processes;
  std::mt19937_64 m_random;
  std::string m_nonce_prefix;
  std::uint64_t m_next_nonce = 1;
  std::size_t m_arrived_count = 0;
  std::size_t m_finished_count = 0;
  std::size_t m_open_count = 0;
  std::deque<PendingRequestPtr> m_waiting;
  std::set<PendingRequestPtr> m_running;
  LoadSummary m_summary;
  std::function<void(const LoadResult&)> m_on_result;
};

}  // namespace bluebellpass::standin
