#pragma once

/**
 * @file
 * Constants of quota enforcement shared by fronts and cores.
 */

namespace switchsaddle::configuration {

/**
 * Share of a quota's bound that is allocated. The remainder covers requests that fronts admit
 * before they learn of each other's admissions.
 */
inline constexpr double UsableQuotaShare = 0.84;

}  // namespace switchsaddle::configuration
