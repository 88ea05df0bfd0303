#pragma once

#include <cstddef>

#include "bluebellpass/types.h"

/// Times and bounds of the configuration task.

namespace bluebellpass::detail {

inline constexpr const char* kConfigKey = "config/main";

inline constexpr Millis kTick{100};
inline constexpr Millis kPollInterval{1'000};
inline constexpr Millis kPeerReportLimit{1'500};  ///< older reports make the others poll, too
inline constexpr Millis kFreshness{2'000};        ///< bound of design section 3.8
inline constexpr Millis kTransit{50};             ///< assumed longest time of a report on its way
inline constexpr Millis kDrainTime{500};      ///< for reports received during a pause to be read
inline constexpr Millis kReachLimit{500};     ///< a read pending longer counts as no contact
inline constexpr Millis kReadTimeout{3'000};  ///< a read pending longer is replaced
inline constexpr Millis kWatchWait{20'000};
inline constexpr Millis kWatchLimit{25'000};  ///< a watch pending longer is replaced
inline constexpr Millis kWatchRetry{1'000};
inline constexpr Millis kResendInterval{2'000};
inline constexpr Millis kRepairDelay{1'000};
inline constexpr Millis kNeverConfirmed{86'400'000};
inline constexpr Millis kChangeRetry{500};
inline constexpr Millis kChangeLimit{10'000};  ///< for the write of a change to be confirmed
inline constexpr Millis kSpreadLimit{3'000};   ///< longest wait for the members to report a change

inline constexpr std::ptrdiff_t kPollersPerDataCentre = 2;
inline constexpr std::size_t kSmallFleet = 16;         ///< up to here each instance sends to all
inline constexpr std::size_t kTrimBytes = 64U << 10U;  ///< memory is returned after larger ones
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20U;  ///< longest value in the object API

}  // namespace bluebellpass::detail
