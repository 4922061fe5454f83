#pragma once

#include <optional>

#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** @return the difference between two views. */
wire::WorkerViewChange changeBetween(const wire::WorkerView& before, const wire::WorkerView& after);

/** @return `base` with the change applied, ordered by id, or std::nullopt if the change has another
 * base. */
std::optional<wire::WorkerView> applyChange(const wire::WorkerView& base,
                                            const wire::WorkerViewChange& change);

}  // namespace switchsaddle::workers
