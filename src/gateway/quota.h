#pragma once

#include <deque>
#include <map>
#include <optional>

#include "bluebellpass/types.h"
#include "model.h"

namespace bluebellpass::gateway {

/// Tolerance of the platform towards quotas: in any window, the rate over the window and the burst,
/// times one plus `over`, plus `slack`.
struct QuotaTolerance {
  Millis window{8'000};
  double excess_ratio = 0;
  double slack = 0;
};

/// Token buckets of organisations, for the part of the fleet's traffic that one decider sees. A
/// bucket is as large as the tolerance allows, so that a short burst is not refused.
class QuotaLimiter {
 public:
  void SetTolerance(const QuotaTolerance& tolerance) { m_tolerance = tolerance; }
  /// @param share part of each quota that this ledger may hand out, 0 to 1
  void SetShare(double share) { m_share = share; }
  /// Forgets all buckets. New ones are empty at this time, since all of them may have been spent
  /// under another decider, and fill up from then on.
  void Reset(TimePoint now);

  /// @return what a request counts: its tokens or the organisation's plain amount; 1 when requests
  /// are counted
  static double CostOf(const Organisation& organisation, const CallerRequest& request);

  /// Takes the cost from the organisation's bucket, when a request is about to run. Requests that
  /// wait have taken nothing, so that one that is dropped after a long wait gives nothing back.
  /// @return false when the bucket does not hold it; nothing is taken then
  bool TryTake(const Organisation& organisation, double cost, TimePoint now);
  /// Sets part of the bucket aside for a request that waits.
  void Reserve(const OrganisationId& organisation, double cost);
  /// Ends a reservation.
  void ReleaseReservation(const OrganisationId& organisation, double cost);
  /// @return time until the bucket holds the cost beside all that is reserved
  Millis TimeUntilAvailable(const Organisation& organisation, double cost, TimePoint now);

 private:
  struct Bucket {
    double level = 0;
    double capacity = 0;
    double rate = 0;
    TimePoint at;
  };
  double CapacityOf(const Organisation& organisation) const;
  Bucket& Refill(const Organisation& organisation, TimePoint now);

  QuotaTolerance m_tolerance;
  double m_share = 1;
  std::optional<TimePoint> m_restarted;
  std::map<OrganisationId, Bucket> m_buckets;
  std::map<OrganisationId, double> m_reserved;
};

/// Bounds how many sends beyond the first of each request an instance makes, as a part of the
/// requests that it has seen lately. Instances that each keep to their part keep to the whole.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;      ///< repeats per request
    double min_retries = 0;  ///< repeats that are always allowed in a window
    Millis window{10'000};
  };
  RetryBudget() = default;
  explicit RetryBudget(const Options& options) : m_options(options) {}

  void SetOptions(const Options& options) { m_options = options; }
  void RecordRequest(TimePoint now);
  /// @return false when no repeat may be made now; otherwise it is counted
  bool TryRetry(TimePoint now);

 private:
  void Expire(TimePoint now);

  Options m_options;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_repeats;
};

/// The budgets of one instance towards all services.
class RetryBudgets {
 public:
  void SetOptions(const RetryBudget::Options& options);
  RetryBudget& For(const ServiceName& service);

 private:
  RetryBudget::Options m_options;
  std::map<ServiceName, RetryBudget> m_budgets;
};

}  // namespace bluebellpass::gateway
