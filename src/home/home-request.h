#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "home-task.h"

namespace bluebellpass {

/// @return time from start to end, in milliseconds
inline std::int64_t MillisBetween(TimePoint start, TimePoint end) {
  return std::chrono::duration_cast<Millis>(end - start).count();
}

/// Passes the progress of a run to the home task. Holds the request's id in place of a reference,
/// since the request may be removed first.
class HomeTask::Listener : public RunListener {
 public:
  Listener(HomeTask& home, RequestId id) : m_home(home), m_id(std::move(id)) {}

  void OnStarted(const std::string& stream_id) override;
  void OnData(std::string_view bytes) override;
  void OnEnd(const RunUsage& usage) override;
  void OnFailure(RunFailure failure, const std::string& message) override;

 private:
  /// @return the request, or null if it has ended; its run may still have events to deliver
  Request* FindRunning() const;

  HomeTask& m_home;
  RequestId m_id;
};

/// A request of this home and its answer.
struct HomeTask::Request {
  explicit Request(TimerService& timers) : deadline_timer(timers), retry_timer(timers) {}

  RequestId id;
  std::uint64_t ticket_issued_s = 0;
  Submission submission;
  Phase phase = Phase::kWaiting;
  bool is_detachable = true;
  bool has_claim = false;  ///< a claim was sent to the ledger and not voided
  TimePoint received_at;
  TimePoint deadline;
  TimePoint ended_at;
  Timer deadline_timer;
  Timer retry_timer;  ///< reserves again after a grant was returned

  // Dispatch.
  std::optional<CellId> reserved_cell;  ///< cell of the last reservation
  InstanceId grant_owner;
  GrantMessage grant;
  Tokens granted_tokens;
  std::unique_ptr<Listener> listener;
  std::unique_ptr<BackendRun> run;

  // Answer.
  std::optional<AnswerHead> head;
  std::string answer;
  std::optional<AnswerEnd> end;
  bool is_answer_discarded = false;
  std::vector<Reader> readers;
  std::optional<RequestId> key_holder;  ///< the request that has claimed the idempotency key

  bool IsUndispatched() const { return phase == Phase::kClaiming || phase == Phase::kWaiting; }
  ClaimKey GetClaimKey() const { return {submission.organisation, submission.idempotency_key}; }
};

}  // namespace bluebellpass
