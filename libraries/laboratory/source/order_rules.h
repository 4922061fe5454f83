#pragma once

#include "switchsaddle/laboratory/judge.h"

namespace switchsaddle::laboratory {

/** Applies the rules on evacuated zones, revoked keys and leaving workers. */
void judgeOrders(const Evidence& evidence, Judgement& judgement);

}  // namespace switchsaddle::laboratory
