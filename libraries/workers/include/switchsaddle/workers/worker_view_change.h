#pragma once

#include <optional>

#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** What leads from one view to another. */
wire::WorkerViewChange changeBetween(const wire::WorkerView& before, const wire::WorkerView& after);

/** The view that the change leads to, by id; nothing where it does not start from `held`. */
std::optional<wire::WorkerView> applyChange(const wire::WorkerView& held,
                                            const wire::WorkerViewChange& change);

}  // namespace switchsaddle::workers
