#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Amounts by time step, in ascending order of the steps.
using StepAmounts = std::vector<std::pair<std::int64_t, double>>;

/// Divides the window of quotas into steps. An amount counts at the end of its step: a bucket that
/// was full shortly before then keeps no refill that it did not have.
class QuotaSteps {
 public:
  /// Short against the window, so that little is counted late, and few entries for each
  /// organisation.
  static constexpr int kStepsPerWindow = 16;

  explicit QuotaSteps(Millis window);
  std::int64_t StepOf(TimePoint time) const;
  TimePoint EndOf(std::int64_t step) const;
  void Add(StepAmounts& amounts, TimePoint time, double cost) const;

 private:
  Millis m_step;
};

/// What an organisation was granted in one step.
struct GrantedAmount {
  OrganisationId organisation;
  TimePoint at;
  double cost = 0;
};

/// What an instance was granted within the last window, for a new coordinator.
struct QuotaReport {
  std::vector<GrantedAmount> granted;
  Millis remembered{0};  ///< time since the instance began to remember
  /// No organisation that is missing in the report was granted more than this fraction of its
  /// quota for a window.
  double max_omitted_ratio = 0;
};

/// Remembers what this instance was granted within the last window of quotas, by organisation.
class GrantHistory {
 public:
  /// Bounds memory and the size of reports: about 60 KB with one step per organisation.
  static constexpr std::size_t kMaxOrganisations = 1'024;

  void Start(TimePoint now) { m_started_at = now; }
  void SetWindow(Millis window);
  /// When the history is full, the organisation with the smallest part of its quota is dropped.
  void Record(const Organisation& organisation, double cost, TimePoint now);
  QuotaReport Report(TimePoint now);
  std::size_t Size() const { return m_granted.size(); }

 private:
  struct Entry {
    StepAmounts amounts;
    double allowance = 0;  ///< quota for a window
    double Ratio() const;
  };
  void RemoveExpired(TimePoint now);
  void DropSmallest(TimePoint now);

  Millis m_window{8'000};
  std::optional<TimePoint> m_started_at;
  std::map<OrganisationId, Entry> m_granted;
  TimePoint m_expired_until;
  double m_max_omitted_ratio = 0;
  TimePoint m_omitted_at;
};

}  // namespace bluebellpass::gateway
