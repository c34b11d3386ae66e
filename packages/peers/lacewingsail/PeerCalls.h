#pragma once

/// \brief The part of the package `peers` that needs gRPC's headers; for sources, not for headers.

#include <lacewingsail/Peers.h>

#include "src/Peers/Calls.h"
