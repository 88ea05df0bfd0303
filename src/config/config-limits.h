#pragma once

#include <cstddef>

#include "bluebellpass/types.h"

/// Intervals, timeouts and limits of ConfigTask.

namespace bluebellpass::detail {

inline constexpr const char* kConfigKey = "config/main";

inline constexpr Millis kTickInterval{100};
inline constexpr Millis kPollInterval{1'000};
/// Instances that are not pollers read the store if their confirmation is older than this.
inline constexpr Millis kFallbackPollAge{1'500};
/// Longest age of the confirmation for dispatch (design section 3.8).
inline constexpr Millis kMaxConfirmationAge{2'000};
/// Assumed longest transmission time of a peer's report.
inline constexpr Millis kMaxReportDelay{50};
/// Time after a pause in which the reports buffered during the pause are read.
inline constexpr Millis kSocketDrainTime{500};
/// A read pending longer counts as loss of contact to the store.
inline constexpr Millis kStoreContactTimeout{500};
inline constexpr Millis kReadTimeout{3'000};      ///< a read pending longer is replaced
inline constexpr Millis kWatchDuration{20'000};   ///< longest wait of one watch call
inline constexpr Millis kWatchTimeout{25'000};    ///< a watch pending longer is replaced
inline constexpr Millis kWatchRetryDelay{1'000};  ///< after a watch without a new version
inline constexpr Millis kResendInterval{2'000};   ///< between sends of one version to one peer
/// Delay after which an instance that is not a poller sends the configuration to an outdated peer.
inline constexpr Millis kFallbackSendDelay{1'000};
inline constexpr Millis kUnconfirmedAge{86'400'000};  ///< reported before the first confirmation
inline constexpr Millis kChangeRetryDelay{500};
inline constexpr Millis kChangeTimeout{10'000};      ///< for confirming the write of a change
inline constexpr Millis kPropagationTimeout{3'000};  ///< for the members to report a new version

inline constexpr std::ptrdiff_t kPollersPerDataCentre = 2;
/// Largest fleet in which every instance sends a new version to all peers.
inline constexpr std::size_t kMaxBroadcastFleet = 16;
/// Size of a document from which the memory freed after parsing is returned to the system.
inline constexpr std::size_t kMinTrimBytes = 64U << 10U;
/// Largest value that the object API stores.
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20U;

}  // namespace bluebellpass::detail
