#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

namespace lacewingsail::internal {

/// \brief Checks what no single object can show: doubled names, dangling references, cycles, floors out of reach.
void checkReferences(const Configuration&, Problems&);

} // namespace lacewingsail::internal
