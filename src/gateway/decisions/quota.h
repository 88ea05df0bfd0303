#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/types.h"
#include "fleet-share.h"
#include "quota-history.h"

namespace bluebellpass::gateway {

/// The platform's tolerance for requests above a quota. Any window may hold
/// (rate * window + burst) * (1 + excess_ratio) + slack.
struct QuotaTolerance {
  Millis window{8'000};
  double excess_ratio = 0;
  double slack = 0;
};

/// What instances have reported after a takeover.
struct QuotaHandover {
  struct Reported {
    StepAmounts granted;
    double named_omitted_ratio = 0;  ///< sum over the reports that name the organisation
  };
  TimePoint at;
  std::set<InstanceId> instances;  ///< that have reported
  std::size_t complete = 0;        ///< of these, the ones that remember a whole window
  double omitted_ratio = 0;        ///< sum over all reports
  std::map<OrganisationId, Reported> reported;
};

/// Token buckets of organisations, for the traffic that one coordinator schedules. Buckets are as
/// large as the tolerance allows, so that a short burst is not refused.
class QuotaLimiter {
 public:
  void SetTolerance(const QuotaTolerance& tolerance) { m_tolerance = tolerance; }
  /// Sets the part of the quotas that this limiter may grant.
  void SetShare(const FleetShare& share) { m_share = share; }
  /// Starts to decide for the fleet. All buckets are dropped, and new ones are derived from the
  /// reports of the instances. If fewer than half of these have reported a whole window, buckets
  /// fill up from empty, since all quotas may have been spent under another coordinator.
  void Reset(TimePoint now);
  /// Ends the time as coordinator.
  void StepDown();
  /// Adds what an instance was granted by others. Reports that arrive before the takeover are kept
  /// for it. The first one of an instance counts, and none later than two seconds after the
  /// takeover.
  void AddReport(const InstanceId& instance, const QuotaReport& report, TimePoint now);

  /// @return units that a request counts: 1, or for a quota in tokens, the request's tokens or the
  /// organisation's default
  static double CostOf(const Organisation& organisation, const CallerRequest& request);

  /// Takes the cost of a request that is about to run from the organisation's bucket. Nothing is
  /// taken for waiting requests, so that one that is dropped after a long wait gives nothing back.
  /// @return false when the bucket does not cover the cost; nothing is taken then
  bool TryTake(const Organisation& organisation, double cost, TimePoint now);
  /// Reserves part of the bucket for a waiting request.
  void Reserve(const OrganisationId& organisation, double cost);
  void ReleaseReservation(const OrganisationId& organisation, double cost);
  /// @return time until the bucket covers the cost in addition to all reservations
  Millis TimeUntilAvailable(const Organisation& organisation, double cost, TimePoint now);

 private:
  struct Bucket {
    double level = 0;
    double capacity = 0;
    double rate_per_s = 0;
    TimePoint refilled_at;
    StepAmounts granted;  ///< since the takeover, while reports are accepted
  };
  struct EarlyReport {
    QuotaReport report;
    TimePoint received_at;
  };
  double CapacityOf(const Organisation& organisation, double share) const;
  Bucket& Refill(const Organisation& organisation, TimePoint now);
  void MergeReport(const InstanceId& instance, const QuotaReport& report);
  /// @return level of a bucket while reports are accepted
  double LevelAfterTakeover(const Organisation& organisation, const Bucket& bucket,
                            TimePoint now) const;
  bool IsInHandover(TimePoint now) const;

  QuotaTolerance m_tolerance;
  FleetShare m_share;
  bool m_is_coordinator = false;
  std::optional<QuotaHandover> m_handover;            ///< of the last takeover
  std::map<InstanceId, EarlyReport> m_early_reports;  ///< received before the takeover
  std::deque<GrantedAmount> m_early_grants;           ///< granted by this limiter before it
  std::map<OrganisationId, Bucket> m_buckets;
  std::map<OrganisationId, double> m_reserved;
};

/// Limits an instance's retries, which are the sends beyond the first of a request, to a fraction
/// of its recent requests. When each instance stays within its fraction, so does the fleet.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;      ///< retries per request
    double min_retries = 0;  ///< allowed per window regardless of the number of requests
    Millis window{10'000};
  };
  RetryBudget() = default;
  explicit RetryBudget(const Options& options) : m_options(options) {}

  void SetOptions(const Options& options) { m_options = options; }
  void RecordRequest(TimePoint now);
  /// Counts a retry, if the budget allows it.
  /// @return false when the request must not be retried now
  bool TryRetry(TimePoint now);

 private:
  void DropExpired(TimePoint now);

  Options m_options;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
};

/// The retry budgets of one instance, by service.
class RetryBudgets {
 public:
  void SetOptions(const RetryBudget::Options& options);
  RetryBudget& For(const ServiceName& service);

 private:
  RetryBudget::Options m_options;
  std::map<ServiceName, RetryBudget> m_budgets;
};

}  // namespace bluebellpass::gateway
